// Reading of untrusted MessagePack arrays, field by field.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/decode_error.h"

namespace peatbend::net {

// Stops parsing at input nested deeper than any valid message, before it exhausts the stack.
class DepthGuard : public nlohmann::json_sax<nlohmann::json> {
 public:
  explicit DepthGuard(int max_depth) : max_depth_(max_depth) {}
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return ++depth_ <= max_depth_; }
  bool key(string_t&) override { return true; }
  bool end_object() override { return depth_-- > 0; }
  bool start_array(std::size_t) override { return ++depth_ <= max_depth_; }
  bool end_array() override { return depth_-- > 0; }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  int max_depth_, depth_ = 0;
};

inline nlohmann::json Blob(const std::string& text) {
  return nlohmann::json::binary({text.begin(), text.end()});
}

// Parses one value. The result is_discarded() if the bytes are not exactly one value, or are nested deeper
// than `max_depth`.
inline nlohmann::json Unpack(std::string_view bytes, int max_depth) {
  DepthGuard guard(max_depth);
  if (!nlohmann::json::sax_parse(bytes, &guard, nlohmann::json::input_format_t::msgpack))
    return nlohmann::json(nlohmann::json::value_t::discarded);
  return nlohmann::json::from_msgpack(bytes, true, false);
}

// Reads the fields of an array in order; stays failed after the first field of another type or beyond its
// limit.
class FieldReader {
 public:
  explicit FieldReader(const nlohmann::json& array) : array_(array), ok_(array.is_array()) {}
  template <typename T>
  FieldReader& Number(T& into, std::uint64_t max) {
    const nlohmann::json* field = Next();
    if (field == nullptr || !field->is_number_unsigned() || field->get<std::uint64_t>() > max) return Fail();
    into = static_cast<T>(field->get<std::uint64_t>());
    return *this;
  }
  FieldReader& Flag(bool& into) {
    const nlohmann::json* field = Next();
    if (field == nullptr || !field->is_boolean()) return Fail();
    into = field->get<bool>();
    return *this;
  }
  FieldReader& Text(std::string& into, std::size_t max) {
    const nlohmann::json* field = Next();
    if (field == nullptr || !field->is_string()) return Fail();
    const auto& text = field->get_ref<const std::string&>();
    if (text.size() > max) return Fail();
    into = text;
    return *this;
  }
  FieldReader& Blob(std::string& into, std::size_t max) {
    const nlohmann::json* field = Next();
    if (field == nullptr || !field->is_binary() || field->get_binary().size() > max) return Fail();
    into.assign(field->get_binary().begin(), field->get_binary().end());
    return *this;
  }
  // The next field as it is; null if there is none or a field has failed.
  const nlohmann::json* Next() {
    if (!ok_ || position_ >= array_.size()) return nullptr;
    return &array_[position_++];
  }
  bool ok() const { return ok_; }

 private:
  FieldReader& Fail() {
    ok_ = false;
    return *this;
  }
  const nlohmann::json& array_;
  std::size_t position_ = 0;
  bool ok_;
};

// Decodes [replica set, [message, ...]], each message by `read`, whose result is whether it succeeded.
// `messages` is empty unless the result is kNone.
template <typename Message, typename Read>
DecodeError ReadEnvelope(std::string_view bytes, int max_depth, std::uint64_t replica_set, std::size_t max,
                         std::vector<Message>& messages, Read read) {
  messages.clear();
  nlohmann::json array = Unpack(bytes, max_depth);
  if (array.is_discarded()) return DecodeError::kMalformed;
  FieldReader fields(array);
  std::uint64_t sender_set = 0;
  const nlohmann::json* elements = fields.Number(sender_set, kUnbounded).Next();
  if (!fields.ok() || elements == nullptr || !elements->is_array() || elements->size() > max)
    return DecodeError::kMalformed;
  if (sender_set != replica_set) return DecodeError::kReplicaSet;
  for (const nlohmann::json& element : *elements) {
    if (read(element, messages.emplace_back())) continue;
    messages.clear();
    return DecodeError::kMalformed;
  }
  return DecodeError::kNone;
}

}  // namespace peatbend::net
