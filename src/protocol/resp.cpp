#include "protocol/resp.h"

#include <algorithm>

#include "base/text.h"

namespace peatbend::net::resp {
namespace {

// RESP lengths: digits, or -1 for null.
bool ParseLength(std::string_view text, std::int64_t most, std::int64_t& value) {
  return ParseNumber(text, value) && value >= -1 && value <= most;
}

}  // namespace

Parser::Status Parser::Bad(std::string_view error) {
  error_ = error;
  return Status::kBad;
}

// The line at at_, without its end; moves past it.
Parser::Status Parser::Line(std::string_view buffer, std::string_view& line) {
  std::size_t end = buffer.find("\r\n", std::max(at_, scanned_));
  if (end == std::string_view::npos) {
    if (buffer.size() - at_ > kMaxLine) return Bad("line too long");
    scanned_ = std::max(at_, buffer.size() - std::min<std::size_t>(buffer.size(), 1));
    return Status::kMore;
  }
  if (end - at_ > kMaxLine) return Bad("line too long");
  line = buffer.substr(at_, end - at_);
  at_ = end + 2;
  return Status::kDone;
}

// One bulk string, its length line included.
Parser::Status Parser::Bulk(std::string_view buffer) {
  bool may_be_body = message_.type == Type::kArray && static_cast<int>(message_.items.size()) == body_item_;
  if (bulk_ < 0) {
    std::string_view line;
    if (at_ < buffer.size() && buffer[at_] != '$') return Bad("expected a bulk string");
    if (Status status = Line(buffer, line); status != Status::kDone) return status;
    if (!ParseLength(line.substr(1), may_be_body ? kMaxBody : kMaxValue, bulk_))
      return Bad("bad bulk length");
    if (bulk_ < 0) {
      message_.items.push_back({.null = true});
      return Status::kDone;
    }
  }
  auto size = static_cast<std::size_t>(bulk_);
  if (size > kMaxValue) return Status::kBody;
  if (at_ + size + 2 > kMaxMessage) return Bad("message too long");
  if (buffer.size() < at_ + size + 2) return Status::kMore;
  if (buffer.substr(at_ + size, 2) != "\r\n") return Bad("bulk string not ended");
  message_.items.push_back({at_, size});
  at_ += size + 2;
  bulk_ = -1;
  return Status::kDone;
}

void Parser::BodyTaken() {
  message_.items.push_back({});
  --items_left_;
  bulk_ = -1;
  at_ = scanned_ = 0;
  after_body_ = true;
}

Parser::Status Parser::Advance(std::string_view buffer) {
  if (after_body_) {
    std::string_view end = "\r\n";
    if (!buffer.starts_with(end))
      return end.starts_with(buffer) ? Status::kMore : Bad("bulk string not ended");
    at_ = end.size();
    after_body_ = false;
  }
  if (items_left_ < 0) {
    if (buffer.empty()) return Status::kMore;
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
        return Bad("unknown type");
    }
    if (message_.type == Type::kBulk) {
      items_left_ = 1;
    } else {
      std::string_view line;
      if (Status status = Line(buffer, line); status != Status::kDone) return status;
      if (message_.type == Type::kArray) {
        if (!ParseLength(line.substr(1), kMaxItems, items_left_)) return Bad("bad array length");
        message_.null = items_left_ < 0;
        items_left_ = std::max<std::int64_t>(items_left_, 0);
      } else {
        message_.items.push_back({1, line.size() - 1});
        items_left_ = 0;
      }
    }
  }
  for (; items_left_ > 0; --items_left_) {
    if (Status status = Bulk(buffer); status != Status::kDone) return status;
  }
  message_.size = at_;
  return Status::kDone;
}

}  // namespace peatbend::net::resp
