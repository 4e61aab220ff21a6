// Reading MessagePack that a stranger may have written: arrays of fields, taken one after another.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/decode_error.h"

namespace peatbend::net {

// Ends the reading of what is nested deeper than any message, before it costs stack.
class DepthGuard : public nlohmann::json_sax<nlohmann::json> {
 public:
  explicit DepthGuard(int deepest) : deepest_(deepest) {}
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return ++depth_ <= deepest_; }
  bool key(string_t&) override { return true; }
  bool end_object() override { return depth_-- > 0; }
  bool start_array(std::size_t) override { return ++depth_ <= deepest_; }
  bool end_array() override { return depth_-- > 0; }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  int deepest_, depth_ = 0;
};

inline nlohmann::json Blob(const std::string& text) {
  return nlohmann::json::binary({text.begin(), text.end()});
}

// Discarded where the bytes are no whole value, or one that is nested deeper.
inline nlohmann::json Unpack(std::string_view bytes, int deepest) {
  DepthGuard guard(deepest);
  if (!nlohmann::json::sax_parse(bytes, &guard, nlohmann::json::input_format_t::msgpack))
    return nlohmann::json(nlohmann::json::value_t::discarded);
  return nlohmann::json::from_msgpack(bytes, true, false);
}

// Takes the fields of an array one after another; fails once and for all at the first that does not fit.
class FieldReader {
 public:
  explicit FieldReader(const nlohmann::json& array) : array_(array), fine_(array.is_array()) {}
  template <typename T>
  FieldReader& Number(T& into, std::uint64_t most) {
    const nlohmann::json* at = Next();
    if (at == nullptr || !at->is_number_unsigned() || at->get<std::uint64_t>() > most) return Fail();
    into = static_cast<T>(at->get<std::uint64_t>());
    return *this;
  }
  FieldReader& Flag(bool& into) {
    const nlohmann::json* at = Next();
    if (at == nullptr || !at->is_boolean()) return Fail();
    into = at->get<bool>();
    return *this;
  }
  FieldReader& Text(std::string& into, std::size_t most) {
    const nlohmann::json* at = Next();
    if (at == nullptr || !at->is_string()) return Fail();
    const auto& text = at->get_ref<const std::string&>();
    if (text.size() > most) return Fail();
    into = text;
    return *this;
  }
  FieldReader& Blob(std::string& into, std::size_t most) {
    const nlohmann::json* at = Next();
    if (at == nullptr || !at->is_binary() || at->get_binary().size() > most) return Fail();
    into.assign(at->get_binary().begin(), at->get_binary().end());
    return *this;
  }
  const nlohmann::json* Next() {
    if (!fine_ || place_ >= array_.size()) return nullptr;
    return &array_[place_++];
  }
  bool fine() const { return fine_; }

 private:
  FieldReader& Fail() {
    fine_ = false;
    return *this;
  }
  const nlohmann::json& array_;
  std::size_t place_ = 0;
  bool fine_;
};

// Reads [replica set, [one, ...]], each one by `read`. `all` is whole where there is no error, else empty.
template <typename One, typename Read>
DecodeError ReadEnvelope(std::string_view bytes, int deepest, std::uint64_t replica_set, std::size_t most,
                         std::vector<One>& all, Read read) {
  all.clear();
  nlohmann::json array = Unpack(bytes, deepest);
  if (array.is_discarded()) return DecodeError::kMalformed;
  FieldReader fields(array);
  std::uint64_t its_set = 0;
  const nlohmann::json* ones = fields.Number(its_set, kAny).Next();
  if (!fields.fine() || ones == nullptr || !ones->is_array() || ones->size() > most)
    return DecodeError::kMalformed;
  if (its_set != replica_set) return DecodeError::kReplicaSet;
  for (const nlohmann::json& one : *ones) {
    if (read(one, all.emplace_back())) continue;
    all.clear();
    return DecodeError::kMalformed;
  }
  return DecodeError::kNone;
}

}  // namespace peatbend::net
