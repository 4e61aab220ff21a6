#include "compat/defaults.h"

#include <algorithm>
#include <limits>

namespace peatbend::compat {

using nlohmann::json;

namespace {

// The number of bytes in Avro's JSON encoding, one character up to U+00FF per byte; nothing if it is invalid.
std::optional<std::size_t> ByteCount(const std::string& text) {
  std::size_t count = 0;
  for (unsigned char c : text) {
    if (c > 0xC3) return std::nullopt;
    count += (c & 0xC0) != 0x80;
  }
  return count;
}

template <typename Number>
bool IsWithin(const json& value) {
  if (value.is_number_unsigned())
    return value.get<std::uint64_t>() <= static_cast<std::uint64_t>(std::numeric_limits<Number>::max());
  return value.is_number_integer() && value.get<std::int64_t>() >= std::numeric_limits<Number>::min();
}

}  // namespace

std::string DefaultChecker::Normalize(NodeId record, std::size_t field) {
  Field& target = nodes_[record].fields[field];
  return NormalizeValue(target.type, *target.default_value);
}

std::string DefaultChecker::NormalizeValue(NodeId type, json& value) {
  const Node& node = nodes_[type];
  std::string mismatch = "no " + std::string(kTypeNames[static_cast<int>(node.type)]) + ": " +
                         value.dump(-1, ' ', true, json::error_handler_t::replace).substr(0, 80);
  switch (node.type) {
    case Type::kNull:
      return value.is_null() ? "" : mismatch;
    case Type::kBoolean:
      return value.is_boolean() ? "" : mismatch;
    case Type::kInt:
      return IsWithin<std::int32_t>(value) ? "" : mismatch;
    case Type::kLong:
      return IsWithin<std::int64_t>(value) ? "" : mismatch;
    case Type::kFloat:
    case Type::kDouble:
      if (!value.is_number()) return mismatch;
      value = value.get<double>();
      return "";
    case Type::kString:
      return value.is_string() ? "" : mismatch;
    case Type::kBytes:
      return value.is_string() && ByteCount(value.get<std::string>()) ? "" : mismatch;
    case Type::kFixed:
      return value.is_string() && ByteCount(value.get<std::string>()) == node.size ? "" : mismatch;
    case Type::kEnum:
      return value.is_string() && std::ranges::count(node.symbols, value.get<std::string>()) ? "" : mismatch;
    case Type::kUnion:
      return NormalizeValue(node.children[0], value);  // a union's default is of its first branch
    case Type::kArray:
    case Type::kMap:
      if (!(node.type == Type::kArray ? value.is_array() : value.is_object())) return mismatch;
      for (json& each : value)
        if (std::string error = NormalizeValue(node.children[0], each); !error.empty()) return error;
      return "";
    case Type::kRecord:
      break;
  }
  if (!value.is_object()) return mismatch;
  json known_fields = json::object();
  for (const Field& field : node.fields) {
    auto given = value.find(field.name);
    if (given == value.end()) {
      if (!field.default_value) return "no value for " + field.name + ", which has no default: " + mismatch;
      continue;
    }
    if (std::string error = NormalizeValue(field.type, *given); !error.empty()) return error;
    known_fields[field.name] = std::move(*given);
  }
  value = std::move(known_fields);
  return "";
}

std::string DefaultChecker::CheckFinite(NodeId record, std::size_t field) {
  auto [at, inserted] = states_.try_emplace({record, field}, State::kInProgress);
  if (!inserted) return at->second == State::kDone ? "" : "a default that contains itself";
  const Field& target = nodes_[record].fields[field];
  std::string error = CheckFiniteValue(target.type, *target.default_value);
  if (error.empty()) states_[{record, field}] = State::kDone;
  return error;
}

std::string DefaultChecker::CheckFiniteValue(NodeId type, const json& value) {
  const Node& node = nodes_[type];
  if (node.type == Type::kUnion) return CheckFiniteValue(node.children[0], value);
  if (node.type == Type::kArray || node.type == Type::kMap) {
    for (const json& each : value)
      if (std::string error = CheckFiniteValue(node.children[0], each); !error.empty()) return error;
  }
  if (node.type != Type::kRecord || !value.is_object()) return "";
  for (std::size_t i = 0; i < node.fields.size(); ++i) {
    auto given = value.find(node.fields[i].name);
    std::string error = given != value.end()           ? CheckFiniteValue(node.fields[i].type, *given)
                        : node.fields[i].default_value ? CheckFinite(type, i)
                                                       : "";
    if (!error.empty()) return error;
  }
  return "";
}

}  // namespace peatbend::compat
