// An incremental reader of HTTP/1.1 responses. The body is collected in a buffer of its own, whose memory is
// that of its bytes, whatever the pieces in which they come; its end is given by Content-Length, by chunked
// transfer coding or by the end of the connection.
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
  enum class Status { kIncomplete, kDone, kMalformed };
  // `max_body`: the response is malformed if body() holds more bytes than this at once.
  explicit ResponseReader(std::size_t max_body) : max_body_(max_body) {}

  // Consumes input from `in`.
  Status Read(evbuffer* in);
  // The status of the response after the end of the connection: kDone or kMalformed.
  Status StatusAtEof() const;

  bool has_head() const { return state_ != State::kHead; }
  int status() const { return status_; }
  bool keep_alive() const { return keep_alive_; }
  // The value of the first header of that name, which is given in lower case; empty if there is none.
  std::string Header(std::string_view name) const;
  // The value of Content-Length, if present.
  std::optional<std::size_t> length() const { return length_; }
  evbuffer* body() const { return body_.get(); }
  // Bytes of the body, or of its chunk, that have not come; 0 where it ends with the connection.
  std::size_t remaining() const { return remaining_; }
  // Describes the fault after kMalformed.
  std::string_view error() const { return error_; }

 private:
  enum class State { kHead, kLength, kUntilEnd, kChunkSize, kChunk, kChunkEnd, kTrailer, kDone };
  Status Fail(std::string_view error);
  Status ReadHead(evbuffer* in);
  bool HeadersValid();
  Status ReadLine(evbuffer* in, std::string& line);
  bool MoveBody(evbuffer* in);

  std::size_t max_body_;
  std::optional<std::size_t> length_;
  State state_ = State::kHead;
  int status_ = 0;
  bool keep_alive_ = true;
  std::string head_;             // a copy, since headers are read after the body has been consumed
  std::size_t scanned_ = 0;      // bytes already searched for the end of the head
  std::uint64_t remaining_ = 0;  // bytes of the body or the chunk
  BufferPtr body_ = NewBuffer();
  std::string_view error_;
};

}  // namespace peatbend::net::http1
