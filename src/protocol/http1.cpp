#include "protocol/http1.h"

#include <algorithm>

#include "base/text.h"

namespace peatbend::net::http1 {
namespace {

// Compares `name` with `lower`, which is in lower case, ignoring case.
bool SameName(std::string_view name, std::string_view lower) {
  return std::equal(name.begin(), name.end(), lower.begin(), lower.end(), [](char x, char y) {
    return (x >= 'A' && x <= 'Z' ? static_cast<char>(x + 32) : x) == y;
  });
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

}  // namespace

ResponseReader::Status ResponseReader::Fail(std::string_view error) {
  error_ = error;
  return Status::kMalformed;
}

std::string ResponseReader::Header(std::string_view name) const {
  std::string_view rest = head_;
  while (!rest.empty()) {
    std::size_t end = rest.find("\r\n");
    std::string_view line = rest.substr(0, end);
    std::size_t colon = line.find(':');
    if (colon != std::string_view::npos && SameName(line.substr(0, colon), name)) {
      return std::string(Trim(line.substr(colon + 1)));
    }
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 2);
  }
  return "";
}

// Checks that each line of the head is a header and that the headers that delimit the body do not conflict.
// With two different lengths, either may be wrong and the response may be truncated (RFC 9112, 5.1 and 6.3).
// A length repeated with the same value is accepted.
bool ResponseReader::HeadersValid() {
  std::string_view rest = head_, length, coding;
  while (!rest.empty()) {
    std::size_t end = rest.find("\r\n");
    std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 2);
    std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) return false;
    std::string_view name = line.substr(0, colon), value = Trim(line.substr(colon + 1));
    if (std::any_of(name.begin(), name.end(), [](unsigned char c) { return c <= ' ' || c >= 0x7f; }))
      return false;
    bool is_length = SameName(name, "content-length"), is_coding = SameName(name, "transfer-encoding");
    if (!is_length && !is_coding) continue;
    std::string_view& former = is_length ? length : coding;
    if (value.empty() || (!former.empty() && (is_coding || former != value))) return false;
    former = value;
  }
  return length.empty() || coding.empty();
}

ResponseReader::Status ResponseReader::ReadHead(evbuffer* in) {
  std::string_view text = Contents(in);
  std::size_t end = text.find("\r\n\r\n", scanned_);
  if (end == std::string_view::npos) {
    if (text.size() > kMaxHead) return Fail("head too long");
    scanned_ = text.size() < 3 ? 0 : text.size() - 3;
    return Status::kIncomplete;
  }
  if (end > kMaxHead) return Fail("head too long");
  std::uint64_t code = 0;
  bool valid = text.starts_with("HTTP/1.") && end >= 12 && text[8] == ' ' &&
               ParseNumber(text.substr(9, 3), code) && code >= 100 && code <= 599 &&
               (text[12] == ' ' || text[12] == '\r');
  if (!valid) return Fail("bad status line");
  status_ = static_cast<int>(code);
  std::size_t first = text.find("\r\n");
  head_.assign(text.substr(std::min(first + 2, end), end - std::min(first + 2, end)));
  bool http10 = text[7] == '0';
  evbuffer_drain(in, end + 4);
  scanned_ = 0;
  if (!HeadersValid()) return Fail("bad headers");
  if (code < 200) {  // an interim response; the final one follows
    head_.clear();
    return ReadHead(in);
  }
  std::string connection = Header("connection"), coding = Header("transfer-encoding");
  keep_alive_ = http10 ? SameName(connection, "keep-alive") : !SameName(connection, "close");
  std::string length = Header("content-length");
  if (!coding.empty()) {
    if (!SameName(coding, "chunked")) return Fail("unknown transfer coding");
    state_ = State::kChunkSize;
  } else if (code == 204 || code == 304) {
    state_ = State::kDone;
  } else if (!length.empty()) {
    if (!ParseNumber(length, remaining_)) return Fail("bad content length");
    if (remaining_ > max_body_) return Fail("body too long");
    length_ = remaining_;
    state_ = State::kLength;
  } else {
    state_ = State::kUntilEnd;
    keep_alive_ = false;
  }
  return Status::kDone;
}

ResponseReader::Status ResponseReader::ReadLine(evbuffer* in, std::string& line) {
  evbuffer_ptr end = evbuffer_search_eol(in, nullptr, nullptr, EVBUFFER_EOL_CRLF_STRICT);
  if (end.pos < 0) return evbuffer_get_length(in) > kMaxHead ? Fail("line too long") : Status::kIncomplete;
  line.resize(static_cast<std::size_t>(end.pos));
  evbuffer_remove(in, line.data(), line.size());
  evbuffer_drain(in, 2);
  return Status::kDone;
}

// Moves available bytes of the body to body_. Returns false if that exceeds max_body_.
bool ResponseReader::MoveBody(evbuffer* in) {
  std::uint64_t available = evbuffer_get_length(in),
                size = state_ == State::kUntilEnd ? available : std::min(available, remaining_);
  if (evbuffer_get_length(body_.get()) + size > max_body_) return false;
  MoveCompact(in, body_.get(), size);
  if (state_ != State::kUntilEnd) remaining_ -= size;
  return true;
}

ResponseReader::Status ResponseReader::Read(evbuffer* in) {
  std::string line;
  for (;;) {
    switch (state_) {
      case State::kHead:
        if (Status status = ReadHead(in); status != Status::kDone) return status;
        break;
      case State::kLength:
        if (!MoveBody(in)) return Fail("body too long");
        if (remaining_ > 0) return Status::kIncomplete;
        state_ = State::kDone;
        break;
      case State::kUntilEnd:
        if (!MoveBody(in)) return Fail("body too long");
        return Status::kIncomplete;
      case State::kChunkSize:
        if (Status status = ReadLine(in, line); status != Status::kDone) return status;
        line.resize(std::min(line.size(), line.find(';')));
        if (!ParseNumber(Trim(line), remaining_, 16)) return Fail("bad chunk size");
        state_ = remaining_ > 0 ? State::kChunk : State::kTrailer;
        break;
      case State::kChunk:
        if (!MoveBody(in)) return Fail("body too long");
        if (remaining_ > 0) return Status::kIncomplete;
        state_ = State::kChunkEnd;
        break;
      case State::kChunkEnd:
        if (Status status = ReadLine(in, line); status != Status::kDone) return status;
        if (!line.empty()) return Fail("chunk not ended");
        state_ = State::kChunkSize;
        break;
      case State::kTrailer:
        if (Status status = ReadLine(in, line); status != Status::kDone) return status;
        if (line.empty()) state_ = State::kDone;
        break;
      case State::kDone:
        return Status::kDone;
    }
  }
}

ResponseReader::Status ResponseReader::StatusAtEof() const {
  return state_ == State::kUntilEnd || state_ == State::kDone ? Status::kDone : Status::kMalformed;
}

}  // namespace peatbend::net::http1
