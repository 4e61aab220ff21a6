// HTTP/1.1 answers, read incrementally out of a buffer. The body is moved, not copied, into a buffer of its
// own: as Content-Length says, in chunks, or until the connection ends.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/event_handles.h"

namespace peatbend::net::http1 {

constexpr std::size_t kMaxHead = 16 * 1024;

class ResponseReader {
 public:
  enum class Status { kMore, kDone, kBad };
  // `max_body`: more than that standing in body() at once is refused.
  explicit ResponseReader(std::size_t max_body) : max_body_(max_body) {}

  Status Read(evbuffer* in);
  // The connection has ended.
  Status AtEnd() const;

  bool has_head() const { return part_ != Part::kHead; }
  int status() const { return status_; }
  bool keep_alive() const { return keep_alive_; }
  // The value of a header as sent, the first if there are several; empty if there is none. Name in lower
  // case.
  std::string Header(std::string_view name) const;
  // As Content-Length says; nothing where the length is not told.
  std::optional<std::size_t> length() const { return length_; }
  evbuffer* body() const { return body_.get(); }
  std::string_view error() const { return error_; }

 private:
  enum class Part { kHead, kLength, kUntilEnd, kChunkSize, kChunk, kChunkEnd, kTrailer, kDone };
  Status Bad(std::string_view error);
  Status ReadHead(evbuffer* in);
  bool CheckHead();
  Status ReadLine(evbuffer* in, std::string& line);
  bool Move(evbuffer* in);

  std::size_t max_body_;
  std::optional<std::size_t> length_;
  Part part_ = Part::kHead;
  int status_ = 0;
  bool keep_alive_ = true;
  std::string head_;  // it outlives the buffer: headers are asked for once the body is there
  std::size_t scanned_ = 0;
  std::uint64_t left_ = 0;  // of the body, or of the chunk
  BufferPtr body_ = NewBuffer();
  std::string_view error_;
};

}  // namespace peatbend::net::http1
