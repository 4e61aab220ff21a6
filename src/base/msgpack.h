// A streaming MessagePack writer and reader without an intermediate representation, for messages that routers
// send each other many times per second. The reader accepts untrusted input: it never reads past the end,
// checks each value against the limit given, and stays failed after the first value that does not match. It
// allocates only for strings.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/decode_error.h"

namespace peatbend::net {

class MsgpackWriter {
 public:
  // Appends to `out`, which must outlive the writer.
  explicit MsgpackWriter(std::string& out) : out_(out) {}
  MsgpackWriter& Number(std::uint64_t number) {
    if (number < 0x80) return Byte(number);
    unsigned size = number <= 0xff ? 0 : number <= 0xffff ? 1 : number <= 0xffffffff ? 2 : 3;
    return Prefixed(0xcc + size, number, 1u << size);
  }
  MsgpackWriter& Flag(bool flag) { return Byte(flag ? 0xc3 : 0xc2); }
  MsgpackWriter& Array(std::size_t size) {
    if (size < 16) return Byte(0x90 | size);
    return size <= 0xffff ? Prefixed(0xdc, size, 2) : Prefixed(0xdd, size, 4);
  }
  MsgpackWriter& Text(std::string_view text) {
    if (text.size() < 32) return Byte(0xa0 | text.size()).Raw(text);
    return Length(0xd9, text.size()).Raw(text);
  }
  MsgpackWriter& Blob(std::string_view bytes) { return Length(0xc4, bytes.size()).Raw(bytes); }
  // Appends values that are already encoded.
  MsgpackWriter& Raw(std::string_view bytes) {
    out_.append(bytes);
    return *this;
  }

 private:
  MsgpackWriter& Byte(std::uint64_t byte) {
    out_.push_back(static_cast<char>(byte));
    return *this;
  }
  // Appends a type byte and `number` as `size` big-endian bytes.
  MsgpackWriter& Prefixed(unsigned type, std::uint64_t number, unsigned size) {
    char bytes[9] = {static_cast<char>(type)};
    for (unsigned i = size; i > 0; --i, number >>= 8) bytes[i] = static_cast<char>(number);
    out_.append(bytes, size + 1);
    return *this;
  }
  MsgpackWriter& Length(unsigned type, std::size_t size) {
    unsigned width = size <= 0xff ? 0 : size <= 0xffff ? 1 : 2;
    return Prefixed(type + width, size, 1u << width);
  }
  std::string& out_;
};

class MsgpackReader {
 public:
  // `bytes` must outlive the reader.
  explicit MsgpackReader(std::string_view bytes) : input_(bytes) {}
  template <typename T>
  MsgpackReader& Number(T& into, std::uint64_t max) {
    unsigned first = Byte();
    std::uint64_t number = first;
    if (first >= 0x80) number = first >= 0xcc && first <= 0xcf ? BigEndian(1u << (first - 0xcc)) : Fail();
    if (number > max) Fail();
    if (ok_) into = static_cast<T>(number);
    return *this;
  }
  MsgpackReader& Flag(bool& into) {
    unsigned first = Byte();
    if (first != 0xc2 && first != 0xc3) Fail();
    if (ok_) into = first == 0xc3;
    return *this;
  }
  // Reads the header of an array of `min` to `max` elements; read the elements next.
  MsgpackReader& Array(std::size_t& size, std::size_t min, std::size_t max) {
    unsigned first = Byte();
    std::uint64_t count = first & 0x0f;
    if (first < 0x90 || first > 0x9f)
      count = first == 0xdc ? BigEndian(2) : first == 0xdd ? BigEndian(4) : Fail();
    if (count < min || count > max) Fail();
    size = ok_ ? static_cast<std::size_t>(count) : 0;
    return *this;
  }
  MsgpackReader& Text(std::string& into, std::size_t max) {
    unsigned first = Byte();
    std::uint64_t size = first & 0x1f;
    if (first < 0xa0 || first > 0xbf)
      size = first >= 0xd9 && first <= 0xdb ? BigEndian(1u << (first - 0xd9)) : Fail();
    return ReadBytes(into, size, max);
  }
  MsgpackReader& Blob(std::string& into, std::size_t max) {
    unsigned first = Byte();
    return ReadBytes(into, first >= 0xc4 && first <= 0xc6 ? BigEndian(1u << (first - 0xc4)) : Fail(), max);
  }
  // Skips `values` values of any type, nested at most `max_depth` deep.
  MsgpackReader& Skip(std::size_t values, int max_depth);
  // Whether every value so far was as expected.
  bool ok() const { return ok_; }
  // As ok(), with all input consumed.
  bool at_end() const { return ok_ && input_.empty(); }

 private:
  std::uint64_t Fail() {
    ok_ = false;
    input_ = {};
    return 0;
  }
  unsigned Byte() { return static_cast<unsigned>(BigEndian(1)); }
  std::uint64_t BigEndian(std::size_t size) {
    if (input_.size() < size) return Fail();
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < size; ++i) number = number << 8 | static_cast<unsigned char>(input_[i]);
    input_.remove_prefix(size);
    return number;
  }
  MsgpackReader& ReadBytes(std::string& into, std::uint64_t size, std::size_t max) {
    if (size > max || size > input_.size()) Fail();
    if (!ok_) return *this;
    into.assign(input_.substr(0, size));
    input_.remove_prefix(size);
    return *this;
  }
  void SkipBytes(std::uint64_t size) {
    if (size > input_.size()) return void(Fail());
    input_.remove_prefix(size);
  }
  std::string_view input_;
  bool ok_ = true;
};

inline MsgpackReader& MsgpackReader::Skip(std::size_t values, int max_depth) {
  for (; values > 0 && ok_; --values) {
    unsigned first = Byte();
    std::uint64_t nested = 0;  // values in this array or map
    if (first < 0x80 || first >= 0xe0 || first == 0xc0 || first == 0xc2 || first == 0xc3) continue;
    if (first < 0xa0) {
      nested = (first & 0x0f) * (first < 0x90 ? 2u : 1u);
    } else if (first < 0xc0) {
      SkipBytes(first & 0x1f);
    } else if (first >= 0xc4 && first <= 0xc6) {
      SkipBytes(BigEndian(1u << (first - 0xc4)));
    } else if (first >= 0xc7 && first <= 0xc9) {
      SkipBytes(BigEndian(1u << (first - 0xc7)) + 1);
    } else if (first == 0xca || first == 0xcb) {
      SkipBytes(first == 0xca ? 4 : 8);
    } else if (first >= 0xcc && first <= 0xd3) {
      SkipBytes(1u << (first & 3));
    } else if (first >= 0xd4 && first <= 0xd8) {
      SkipBytes((1u << (first - 0xd4)) + 1);
    } else if (first >= 0xd9 && first <= 0xdb) {
      SkipBytes(BigEndian(1u << (first - 0xd9)));
    } else if (first >= 0xdc) {
      nested = BigEndian(first % 2 == 0 ? 2 : 4) * (first >= 0xde ? 2u : 1u);
    } else {
      Fail();  // 0xc1 is never used in MessagePack
    }
    if (nested > 0 && max_depth <= 0) Fail();
    if (nested > 0) Skip(nested, max_depth - 1);
  }
  return *this;
}

}  // namespace peatbend::net
