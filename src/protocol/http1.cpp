#include "protocol/http1.h"

#include <algorithm>

#include "base/text.h"

namespace peatbend::net::http1 {
namespace {

bool SameName(std::string_view a, std::string_view lower) {
  return std::equal(a.begin(), a.end(), lower.begin(), lower.end(), [](char x, char y) {
    return (x >= 'A' && x <= 'Z' ? static_cast<char>(x + 32) : x) == y;
  });
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

}  // namespace

ResponseReader::Status ResponseReader::Bad(std::string_view error) {
  error_ = error;
  return Status::kBad;
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

// Whether each line of the head is a header, and the headers that say where the body ends are told once.
// Guards against an answer cut short: of two lengths either may be the wrong one (RFC 9112, 5.1 and 6.3). A
// length that is repeated alike does no harm.
bool ResponseReader::CheckHead() {
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
    std::string_view& told = is_length ? length : coding;
    if (value.empty() || (!told.empty() && (is_coding || told != value))) return false;
    told = value;
  }
  return length.empty() || coding.empty();
}

ResponseReader::Status ResponseReader::ReadHead(evbuffer* in) {
  std::string_view text = Contents(in);
  std::size_t end = text.find("\r\n\r\n", scanned_);
  if (end == std::string_view::npos) {
    if (text.size() > kMaxHead) return Bad("head too long");
    scanned_ = text.size() < 3 ? 0 : text.size() - 3;
    return Status::kMore;
  }
  if (end > kMaxHead) return Bad("head too long");
  std::uint64_t code = 0;
  bool fine = text.starts_with("HTTP/1.") && end >= 12 && text[8] == ' ' &&
              ParseNumber(text.substr(9, 3), code) && code >= 100 && code <= 599 &&
              (text[12] == ' ' || text[12] == '\r');
  if (!fine) return Bad("bad status line");
  status_ = static_cast<int>(code);
  std::size_t first = text.find("\r\n");
  head_.assign(text.substr(std::min(first + 2, end), end - std::min(first + 2, end)));
  bool old = text[7] == '0';
  evbuffer_drain(in, end + 4);
  scanned_ = 0;
  if (!CheckHead()) return Bad("bad headers");
  if (code < 200) {  // an interim answer: the real one follows
    head_.clear();
    return ReadHead(in);
  }
  std::string connection = Header("connection"), coding = Header("transfer-encoding");
  keep_alive_ = old ? SameName(connection, "keep-alive") : !SameName(connection, "close");
  std::string length = Header("content-length");
  if (!coding.empty()) {
    if (!SameName(coding, "chunked")) return Bad("unknown transfer coding");
    part_ = Part::kChunkSize;
  } else if (code == 204 || code == 304) {
    part_ = Part::kDone;
  } else if (!length.empty()) {
    if (!ParseNumber(length, left_)) return Bad("bad content length");
    if (left_ > max_body_) return Bad("body too long");
    length_ = left_;
    part_ = Part::kLength;
  } else {
    part_ = Part::kUntilEnd;
    keep_alive_ = false;
  }
  return Status::kDone;
}

ResponseReader::Status ResponseReader::ReadLine(evbuffer* in, std::string& line) {
  evbuffer_ptr end = evbuffer_search_eol(in, nullptr, nullptr, EVBUFFER_EOL_CRLF_STRICT);
  if (end.pos < 0) return evbuffer_get_length(in) > kMaxHead ? Bad("line too long") : Status::kMore;
  line.resize(static_cast<std::size_t>(end.pos));
  evbuffer_remove(in, line.data(), line.size());
  evbuffer_drain(in, 2);
  return Status::kDone;
}

// Moves what has come of the body; false if that is more than is taken.
bool ResponseReader::Move(evbuffer* in) {
  std::uint64_t has = evbuffer_get_length(in), take = part_ == Part::kUntilEnd ? has : std::min(has, left_);
  if (evbuffer_get_length(body_.get()) + take > max_body_) return false;
  evbuffer_remove_buffer(in, body_.get(), take);
  if (part_ != Part::kUntilEnd) left_ -= take;
  return true;
}

ResponseReader::Status ResponseReader::Read(evbuffer* in) {
  std::string line;
  for (;;) {
    switch (part_) {
      case Part::kHead:
        if (Status status = ReadHead(in); status != Status::kDone) return status;
        break;
      case Part::kLength:
        if (!Move(in)) return Bad("body too long");
        if (left_ > 0) return Status::kMore;
        part_ = Part::kDone;
        break;
      case Part::kUntilEnd:
        if (!Move(in)) return Bad("body too long");
        return Status::kMore;
      case Part::kChunkSize:
        if (Status status = ReadLine(in, line); status != Status::kDone) return status;
        line.resize(std::min(line.size(), line.find(';')));
        if (!ParseNumber(Trim(line), left_, 16)) return Bad("bad chunk size");
        part_ = left_ > 0 ? Part::kChunk : Part::kTrailer;
        break;
      case Part::kChunk:
        if (!Move(in)) return Bad("body too long");
        if (left_ > 0) return Status::kMore;
        part_ = Part::kChunkEnd;
        break;
      case Part::kChunkEnd:
        if (Status status = ReadLine(in, line); status != Status::kDone) return status;
        if (!line.empty()) return Bad("chunk not ended");
        part_ = Part::kChunkSize;
        break;
      case Part::kTrailer:
        if (Status status = ReadLine(in, line); status != Status::kDone) return status;
        if (line.empty()) part_ = Part::kDone;
        break;
      case Part::kDone:
        return Status::kDone;
    }
  }
}

ResponseReader::Status ResponseReader::AtEnd() const {
  return part_ == Part::kUntilEnd || part_ == Part::kDone ? Status::kDone : Status::kBad;
}

}  // namespace peatbend::net::http1
