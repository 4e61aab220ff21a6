// RESP2, one message at a time and incrementally: the parser remembers where it stopped, so bytes are looked
// at once. A message is told as slices of the buffer it stands in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace peatbend::net::resp {

constexpr std::size_t kMaxValue = 64 * 1024;               // bytes of one bulk string
constexpr std::size_t kMaxBody = 4 * 1024 * 1024;          // of one that is passed on as it comes
constexpr std::size_t kMaxItems = 16;                      // of an array
constexpr std::size_t kMaxMessage = kMaxValue + 8 * 1024;  // what a message may take in all
constexpr std::size_t kMaxLine = 1024;                     // of a simple string, error or length

struct Slice {
  std::size_t at = 0, size = 0;  // in the buffer, from the message's start
  bool null = false;
  std::string_view In(std::string_view buffer) const { return null ? "" : buffer.substr(at, size); }
};

enum class Type { kArray, kBulk, kSimple, kError, kInteger };

struct Message {
  Type type = Type::kSimple;
  bool null = false;         // a null array
  std::vector<Slice> items;  // of an array (its items are bulk strings); else the one text
  std::size_t size = 0;      // bytes that it took
};

class Parser {
 public:
  // kBody: a bulk string of more than kMaxValue comes next, of body() bytes. The first head() bytes of the
  // buffer stand before it. Whoever reads takes these and the body out of the buffer, calls BodyTaken and
  // goes on with what follows.
  enum class Status { kMore, kDone, kBad, kBody };
  // `body_item`: the item of an array that may be a body; without one all are bounded by kMaxValue.
  explicit Parser(int body_item = -1) : body_item_(body_item) {}
  // `buffer` starts with the message, of which more may have come since the last call.
  Status Advance(std::string_view buffer);
  const Message& message() const { return message_; }
  std::string_view error() const { return error_; }
  void Reset() { *this = Parser(body_item_); }
  std::size_t body() const { return static_cast<std::size_t>(bulk_); }
  std::size_t head() const { return at_; }
  // The body's item is an empty slice then, and the message's size is that of what stood behind it.
  void BodyTaken();

 private:
  Status Bad(std::string_view error);
  Status Line(std::string_view buffer, std::string_view& line);
  Status Bulk(std::string_view buffer);
  int body_item_;
  bool after_body_ = false;  // what comes next is the end of the body's bulk string
  Message message_;
  std::string_view error_;
  std::size_t at_ = 0, scanned_ = 0;  // what comes next; no line end before this
  std::int64_t items_left_ = -1;      // -1: the message's first line has not been read
  std::int64_t bulk_ = -1;            // length of the bulk string being read; -1: none
};

}  // namespace peatbend::net::resp
