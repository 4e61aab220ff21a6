// An incremental parser of RESP2 messages. It resumes where it stopped, so that each byte is examined once,
// and describes a message as slices of the caller's buffer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace peatbend::net::resp {

constexpr std::size_t kMaxValue = 64 * 1024;               // bytes of a bulk string
constexpr std::size_t kMaxBody = 4 * 1024 * 1024;          // bytes of a streamed bulk string
constexpr std::size_t kMaxItems = 16;                      // items of an array
constexpr std::size_t kMaxMessage = kMaxValue + 8 * 1024;  // bytes of a message
constexpr std::size_t kMaxLine = 1024;                     // bytes of a simple string, an error or a length

struct Slice {
  std::size_t at = 0, size = 0;  // offset from the start of the message, and bytes
  bool null = false;
  std::string_view In(std::string_view buffer) const { return null ? "" : buffer.substr(at, size); }
};

enum class Type { kArray, kBulk, kSimple, kError, kInteger };

struct Message {
  Type type = Type::kSimple;
  bool null = false;         // a null array
  std::vector<Slice> items;  // bulk strings of an array; otherwise the single text
  std::size_t size = 0;      // bytes of the encoded message
};

class Parser {
 public:
  // kBody: a bulk string that is streamed follows, of body_size() bytes. It starts after the
  // first head_size() bytes of the buffer. The caller removes both from the buffer, calls BodyConsumed and
  // continues with the rest.
  enum class Status { kIncomplete, kDone, kMalformed, kBody };
  // `body_item`: index of the array item that may be streamed as a body; -1: none. All other bulk strings are
  // limited to kMaxValue. `body_above`: bytes above which it is.
  explicit Parser(int body_item = -1, std::size_t body_above = kMaxValue)
      : body_item_(body_item), body_above_(body_above) {}
  // Parses further. `buffer` starts with the message and may have grown since the last call.
  Status Advance(std::string_view buffer);
  const Message& message() const { return message_; }
  // Describes the fault after kMalformed.
  std::string_view error() const { return error_; }
  void Reset() { *this = Parser(body_item_, body_above_); }
  std::size_t body_size() const { return static_cast<std::size_t>(bulk_size_); }
  std::size_t head_size() const { return position_; }
  // Leaves an empty slice as the body's item. The size of the message then counts only the bytes after the
  // body.
  void BodyConsumed();

 private:
  Status Fail(std::string_view error);
  Status ReadLine(std::string_view buffer, std::string_view& line);
  Status ReadBulk(std::string_view buffer);
  int body_item_;
  std::size_t body_above_;
  bool after_body_ = false;  // the line end of the body's bulk string comes next
  Message message_;
  std::string_view error_;
  std::size_t position_ = 0;      // of the next byte to parse
  std::size_t scanned_ = 0;       // no line end before this position
  std::int64_t items_left_ = -1;  // -1: the first line of the message has not been read
  std::int64_t bulk_size_ = -1;   // of the bulk string being read; -1: none
};

}  // namespace peatbend::net::resp
