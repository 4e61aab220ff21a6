// Avro schemas (specification 1.11, JSON form): parsed strictly and printed in a canonical form.
// docs/design/compat.md says where the specification is ambiguous and what is done there. Free of I/O and
// clocks; a schema is an immutable value that several threads may read.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace peatbend::compat {

enum class Type : std::uint8_t {
  kNull,
  kBoolean,
  kInt,
  kLong,
  kFloat,
  kDouble,
  kBytes,
  kString,
  kRecord,
  kEnum,
  kFixed,
  kArray,
  kMap,
  kUnion
};
constexpr const char* kTypeNames[] = {"null",   "boolean", "int",  "long",  "float", "double", "bytes",
                                      "string", "record",  "enum", "fixed", "array", "map",    "union"};
constexpr std::size_t kPrimitiveTypes = 8;  // they come first in Type

using NodeId = std::uint32_t;

struct Field {
  std::string name;
  std::set<std::string> aliases;
  NodeId type = 0;
  std::optional<nlohmann::json> default_value;  // Avro's "default", normalized to the field's type
};

struct Node {
  Type type = Type::kNull;
  std::string name;  // record, enum, fixed: the full name, with namespace
  std::set<std::string> aliases;
  std::vector<Field> fields;                 // record
  std::vector<std::string> symbols;          // enum
  std::optional<std::string> default_value;  // enum: used for unknown symbols
  std::uint64_t size = 0;                    // fixed, in bytes
  std::vector<NodeId> children;              // array: items; map: values; union: branches
};

struct Limits {
  std::size_t bytes = 64u << 10;  // of the text
  int depth = 64;                 // of nested JSON
  std::size_t names = 4096;       // of types, fields, symbols and aliases together
};

struct Error {
  std::string path;  // within the JSON, from "$"
  std::string what;
};

class Schema {
 public:
  static std::variant<Schema, Error> Parse(std::string_view text, const Limits& limits = {});

  const Node& at(NodeId id) const { return nodes_[id]; }
  NodeId root() const { return root_; }
  std::size_t size() const { return nodes_.size(); }
  // The canonical text: all that affects resolution (full names, aliases and defaults), without docs, orders
  // and logical types. Parse returns an equal schema for it.
  const std::string& text() const { return text_; }
  // XXH3 of text().
  std::uint64_t fingerprint() const { return fingerprint_; }
  bool operator==(const Schema& other) const { return text_ == other.text_; }

 private:
  friend class SchemaParser;
  std::vector<Node> nodes_;
  NodeId root_ = 0;
  std::string text_;
  std::uint64_t fingerprint_ = 0;
};

// A name without its namespace.
inline std::string_view Unqualified(std::string_view name) { return name.substr(name.rfind('.') + 1); }
inline bool IsNamed(Type type) {
  return type == Type::kRecord || type == Type::kEnum || type == Type::kFixed;
}

}  // namespace peatbend::compat
