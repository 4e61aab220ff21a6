// Writing and reading MessagePack straight as bytes, with no values in between: what routers send each
// other many times a second. A reader takes what a stranger may have written: nothing beyond the bytes,
// nothing larger than is stated, and it fails once and for all at the first that does not fit. Allocates only
// for texts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/decode_error.h"

namespace peatbend::net {

class MsgpackWriter {
 public:
  // Appends; `into` outlives it.
  explicit MsgpackWriter(std::string& into) : into_(into) {}
  MsgpackWriter& Number(std::uint64_t number) {
    if (number < 0x80) return Byte(number);
    unsigned size = number <= 0xff ? 0 : number <= 0xffff ? 1 : number <= 0xffffffff ? 2 : 3;
    return Led(0xcc + size, number, 1u << size);
  }
  MsgpackWriter& Flag(bool flag) { return Byte(flag ? 0xc3 : 0xc2); }
  MsgpackWriter& Array(std::size_t size) {
    if (size < 16) return Byte(0x90 | size);
    return size <= 0xffff ? Led(0xdc, size, 2) : Led(0xdd, size, 4);
  }
  MsgpackWriter& Text(std::string_view text) {
    if (text.size() < 32) return Byte(0xa0 | text.size()).Raw(text);
    return Length(0xd9, text.size()).Raw(text);
  }
  MsgpackWriter& Blob(std::string_view bytes) { return Length(0xc4, bytes.size()).Raw(bytes); }
  // Values that are written already.
  MsgpackWriter& Raw(std::string_view bytes) {
    into_.append(bytes);
    return *this;
  }

 private:
  MsgpackWriter& Byte(std::uint64_t byte) {
    into_.push_back(static_cast<char>(byte));
    return *this;
  }
  // A first byte, and a number in so many, the highest first.
  MsgpackWriter& Led(unsigned first, std::uint64_t number, unsigned size) {
    char bytes[9] = {static_cast<char>(first)};
    for (unsigned i = size; i > 0; --i, number >>= 8) bytes[i] = static_cast<char>(number);
    into_.append(bytes, size + 1);
    return *this;
  }
  MsgpackWriter& Length(unsigned first, std::size_t size) {
    unsigned more = size <= 0xff ? 0 : size <= 0xffff ? 1 : 2;
    return Led(first + more, size, 1u << more);
  }
  std::string& into_;
};

class MsgpackReader {
 public:
  // `bytes` outlive it.
  explicit MsgpackReader(std::string_view bytes) : rest_(bytes) {}
  template <typename T>
  MsgpackReader& Number(T& into, std::uint64_t most) {
    unsigned first = Byte();
    std::uint64_t number = first;
    if (first >= 0x80) number = first >= 0xcc && first <= 0xcf ? Bytes(1u << (first - 0xcc)) : Fail();
    if (number > most) Fail();
    if (fine_) into = static_cast<T>(number);
    return *this;
  }
  MsgpackReader& Flag(bool& into) {
    unsigned first = Byte();
    if (first != 0xc2 && first != 0xc3) Fail();
    if (fine_) into = first == 0xc3;
    return *this;
  }
  // An array's beginning; what is in it follows.
  MsgpackReader& Array(std::size_t& size, std::size_t least, std::size_t most) {
    unsigned first = Byte();
    std::uint64_t many = first & 0x0f;
    if (first < 0x90 || first > 0x9f) many = first == 0xdc ? Bytes(2) : first == 0xdd ? Bytes(4) : Fail();
    if (many < least || many > most) Fail();
    size = fine_ ? static_cast<std::size_t>(many) : 0;
    return *this;
  }
  MsgpackReader& Text(std::string& into, std::size_t most) {
    unsigned first = Byte();
    std::uint64_t size = first & 0x1f;
    if (first < 0xa0 || first > 0xbf)
      size = first >= 0xd9 && first <= 0xdb ? Bytes(1u << (first - 0xd9)) : Fail();
    return Take(into, size, most);
  }
  MsgpackReader& Blob(std::string& into, std::size_t most) {
    unsigned first = Byte();
    return Take(into, first >= 0xc4 && first <= 0xc6 ? Bytes(1u << (first - 0xc4)) : Fail(), most);
  }
  // Passes over so many values of any kind, nested no deeper than that.
  MsgpackReader& Skip(std::size_t values, int deepest);
  bool fine() const { return fine_; }
  bool done() const { return fine_ && rest_.empty(); }

 private:
  std::uint64_t Fail() {
    fine_ = false;
    rest_ = {};
    return 0;
  }
  unsigned Byte() { return static_cast<unsigned>(Bytes(1)); }
  std::uint64_t Bytes(std::size_t size) {
    if (rest_.size() < size) return Fail();
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < size; ++i) number = number << 8 | static_cast<unsigned char>(rest_[i]);
    rest_.remove_prefix(size);
    return number;
  }
  MsgpackReader& Take(std::string& into, std::uint64_t size, std::size_t most) {
    if (size > most || size > rest_.size()) Fail();
    if (!fine_) return *this;
    into.assign(rest_.substr(0, size));
    rest_.remove_prefix(size);
    return *this;
  }
  void Pass(std::uint64_t size) {
    if (size > rest_.size()) return void(Fail());
    rest_.remove_prefix(size);
  }
  std::string_view rest_;
  bool fine_ = true;
};

inline MsgpackReader& MsgpackReader::Skip(std::size_t values, int deepest) {
  for (; values > 0 && fine_; --values) {
    unsigned first = Byte();
    std::uint64_t within = 0;  // values nested in it
    if (first < 0x80 || first >= 0xe0 || first == 0xc0 || first == 0xc2 || first == 0xc3) continue;
    if (first < 0xa0) {
      within = (first & 0x0f) * (first < 0x90 ? 2u : 1u);
    } else if (first < 0xc0) {
      Pass(first & 0x1f);
    } else if (first >= 0xc4 && first <= 0xc6) {
      Pass(Bytes(1u << (first - 0xc4)));
    } else if (first >= 0xc7 && first <= 0xc9) {
      Pass(Bytes(1u << (first - 0xc7)) + 1);
    } else if (first == 0xca || first == 0xcb) {
      Pass(first == 0xca ? 4 : 8);
    } else if (first >= 0xcc && first <= 0xd3) {
      Pass(1u << (first & 3));
    } else if (first >= 0xd4 && first <= 0xd8) {
      Pass((1u << (first - 0xd4)) + 1);
    } else if (first >= 0xd9 && first <= 0xdb) {
      Pass(Bytes(1u << (first - 0xd9)));
    } else if (first >= 0xdc) {
      within = Bytes(first % 2 == 0 ? 2 : 4) * (first >= 0xde ? 2u : 1u);
    } else {
      Fail();  // 0xc1 begins nothing
    }
    if (within > 0 && deepest <= 0) Fail();
    if (within > 0) Skip(within, deepest - 1);
  }
  return *this;
}

}  // namespace peatbend::net
