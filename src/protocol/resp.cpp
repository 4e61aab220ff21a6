#include "protocol/resp.h"

#include <algorithm>

#include "base/text.h"

namespace peatbend::net::resp {
namespace {

// Parses a RESP length of up to `max`, or -1 for null.
bool ParseLength(std::string_view text, std::int64_t max, std::int64_t& value) {
  return ParseNumber(text, value) && value >= -1 && value <= max;
}

}  // namespace

Parser::Status Parser::Fail(std::string_view error) {
  error_ = error;
  return Status::kMalformed;
}

// Reads the line at position_ without its end and moves past it.
Parser::Status Parser::ReadLine(std::string_view buffer, std::string_view& line) {
  std::size_t end = buffer.find("\r\n", std::max(position_, scanned_));
  if (end == std::string_view::npos) {
    if (buffer.size() - position_ > kMaxLine) return Fail("line too long");
    scanned_ = std::max(position_, buffer.size() - std::min<std::size_t>(buffer.size(), 1));
    return Status::kIncomplete;
  }
  if (end - position_ > kMaxLine) return Fail("line too long");
  line = buffer.substr(position_, end - position_);
  position_ = end + 2;
  return Status::kDone;
}

// Reads one bulk string including its length line.
Parser::Status Parser::ReadBulk(std::string_view buffer) {
  bool may_be_body = message_.type == Type::kArray && static_cast<int>(message_.items.size()) == body_item_;
  if (bulk_size_ < 0) {
    std::string_view line;
    if (position_ < buffer.size() && buffer[position_] != '$') return Fail("expected a bulk string");
    if (Status status = ReadLine(buffer, line); status != Status::kDone) return status;
    if (!ParseLength(line.substr(1), may_be_body ? kMaxBody : kMaxValue, bulk_size_))
      return Fail("bad bulk length");
    if (bulk_size_ < 0) {
      message_.items.push_back({.null = true});
      return Status::kDone;
    }
  }
  auto size = static_cast<std::size_t>(bulk_size_);
  if (may_be_body && size > body_above_) return Status::kBody;
  if (position_ + size + 2 > kMaxMessage) return Fail("message too long");
  if (buffer.size() < position_ + size + 2) return Status::kIncomplete;
  if (buffer.substr(position_ + size, 2) != "\r\n") return Fail("bulk string not ended");
  message_.items.push_back({position_, size});
  position_ += size + 2;
  bulk_size_ = -1;
  return Status::kDone;
}

void Parser::BodyConsumed() {
  message_.items.push_back({});
  --items_left_;
  bulk_size_ = -1;
  position_ = scanned_ = 0;
  after_body_ = true;
}

Parser::Status Parser::Advance(std::string_view buffer) {
  if (after_body_) {
    std::string_view end = "\r\n";
    if (!buffer.starts_with(end))
      return end.starts_with(buffer) ? Status::kIncomplete : Fail("bulk string not ended");
    position_ = end.size();
    after_body_ = false;
  }
  if (items_left_ < 0) {
    if (buffer.empty()) return Status::kIncomplete;
    switch (buffer[0]) {
      case '*':
        message_.type = Type::kArray;
        break;
      case '$':
        message_.type = Type::kBulk;
        break;
      case '+':
        message_.type = Type::kSimple;
        break;
      case '-':
        message_.type = Type::kError;
        break;
      case ':':
        message_.type = Type::kInteger;
        break;
      default:
        return Fail("unknown type");
    }
    if (message_.type == Type::kBulk) {
      items_left_ = 1;
    } else {
      std::string_view line;
      if (Status status = ReadLine(buffer, line); status != Status::kDone) return status;
      if (message_.type == Type::kArray) {
        if (!ParseLength(line.substr(1), kMaxItems, items_left_)) return Fail("bad array length");
        message_.null = items_left_ < 0;
        items_left_ = std::max<std::int64_t>(items_left_, 0);
      } else {
        message_.items.push_back({1, line.size() - 1});
        items_left_ = 0;
      }
    }
  }
  for (; items_left_ > 0; --items_left_) {
    if (Status status = ReadBulk(buffer); status != Status::kDone) return status;
  }
  message_.size = position_;
  return Status::kDone;
}

}  // namespace peatbend::net::resp
