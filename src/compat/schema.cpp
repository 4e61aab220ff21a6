#include "compat/schema.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

#include "base/msgpack_fields.h"
#include "compat/defaults.h"

namespace peatbend::compat {

using nlohmann::json;

namespace {

bool IsName(std::string_view text) {
  auto letter = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; };
  return !text.empty() && letter(text[0]) &&
         std::ranges::all_of(text, [&](char c) { return letter(c) || (c >= '0' && c <= '9'); });
}

bool IsFullName(std::string_view text) {
  for (;;) {
    std::size_t dot = text.find('.');
    if (!IsName(text.substr(0, dot))) return false;
    if (dot == std::string_view::npos) return true;
    text.remove_prefix(dot + 1);
  }
}

std::optional<Type> PrimitiveType(std::string_view name) {
  for (std::size_t i = 0; i < kPrimitiveTypes; ++i)
    if (name == kTypeNames[i]) return static_cast<Type>(i);
  return std::nullopt;
}

std::string NamespaceOf(const std::string& name) {
  std::size_t dot = name.rfind('.');
  return dot == std::string::npos ? "" : name.substr(0, dot);
}

// Rejects an object with a duplicate key: parsers differ in which of the two values they use.
class DuplicateKeyGuard : public net::DepthGuard {
 public:
  using DepthGuard::DepthGuard;
  bool start_object(std::size_t n) override {
    keys_.emplace_back();
    return DepthGuard::start_object(n);
  }
  bool key(string_t& key) override {
    if (!keys_.back().insert(key).second) duplicate_ = key;
    return duplicate_.empty();
  }
  bool end_object() override {
    keys_.pop_back();
    return DepthGuard::end_object();
  }
  bool parse_error(std::size_t at, const std::string&, const nlohmann::detail::exception&) override {
    error_at_ = at;
    return false;
  }
  std::string Message() const {
    if (!duplicate_.empty()) return "the key " + duplicate_ + " occurs twice in an object";
    return error_at_ > 0 ? "invalid JSON at byte " + std::to_string(error_at_) : "nested too deep";
  }

 private:
  std::vector<std::set<std::string>> keys_;
  std::string duplicate_;
  std::size_t error_at_ = 0;
};

}  // namespace

// Builds one schema; throws an Error, which Schema::Parse returns.
class SchemaParser {
 public:
  explicit SchemaParser(const Limits& limits) : limits_(limits) {}

  Schema Build(const json& text) {
    schema_.root_ = ParseType(text, "", "$");
    CheckAliases();
    DefaultChecker defaults(schema_.nodes_);
    for (auto step : {&DefaultChecker::Normalize, &DefaultChecker::CheckFinite}) {
      for (const auto& [id, i, path] : defaults_) {
        std::string error = (defaults.*step)(id, i);
        if (!error.empty()) throw Error{path + ".default", error};
      }
    }
    schema_.text_ = PrintNode(schema_.root_, "");
    schema_.fingerprint_ = XXH3_64bits(schema_.text_.data(), schema_.text_.size());
    return std::move(schema_);
  }

 private:
  NodeId Add(Node node) {
    schema_.nodes_.push_back(std::move(node));
    return static_cast<NodeId>(schema_.nodes_.size() - 1);
  }
  void CountName(const std::string& path) {
    if (++name_count_ > limits_.names)
      throw Error{path, "more than " + std::to_string(limits_.names) + " names"};
  }

  NodeId ParseType(const json& text, const std::string& enclosing_namespace, const std::string& path) {
    if (text.is_string()) return ParseReference(text.get<std::string>(), enclosing_namespace, path);
    if (text.is_array()) return ParseUnion(text, enclosing_namespace, path);
    if (!text.is_object()) throw Error{path, "neither a name, nor an object, nor a union"};
    std::string type = RequiredString(text, "type", path);
    if (type == "record") return ParseRecord(text, enclosing_namespace, path);
    if (type == "enum") return ParseEnum(text, enclosing_namespace, path);
    if (type == "fixed") return ParseFixed(text, enclosing_namespace, path);
    if (type == "array" || type == "map") {
      const char* key = type == "array" ? "items" : "values";
      if (!text.contains(key)) throw Error{path, "no " + std::string(key)};
      Node node;
      node.type = type == "array" ? Type::kArray : Type::kMap;
      node.children = {ParseType(text[key], enclosing_namespace, path + "." + key)};
      return Add(std::move(node));
    }
    return ParseReference(type, enclosing_namespace, path + ".type");
  }

  NodeId ParseReference(const std::string& name, const std::string& enclosing_namespace,
                        const std::string& path) {
    if (auto primitive = PrimitiveType(name)) {
      auto [at, inserted] = primitives_.try_emplace(*primitive, 0);
      if (inserted) {
        Node node;
        node.type = *primitive;
        at->second = Add(std::move(node));
      }
      return at->second;
    }
    std::string full = name.find('.') == std::string::npos && !enclosing_namespace.empty()
                           ? enclosing_namespace + "." + name
                           : name;
    auto at = named_.find(full);
    if (at == named_.end()) throw Error{path, "no type " + full + " is defined before this"};
    return at->second;
  }

  NodeId ParseUnion(const json& text, const std::string& enclosing_namespace, const std::string& path) {
    if (text.empty()) throw Error{path, "an empty union"};
    Node node;
    node.type = Type::kUnion;
    std::set<std::string> seen;
    for (std::size_t i = 0; i < text.size(); ++i) {
      std::string item_path = path + "[" + std::to_string(i) + "]";
      NodeId branch_id = ParseType(text[i], enclosing_namespace, item_path);
      const Node& branch = schema_.at(branch_id);
      if (branch.type == Type::kUnion) throw Error{item_path, "a union within a union"};
      std::string name = IsNamed(branch.type) ? branch.name : kTypeNames[static_cast<int>(branch.type)];
      if (!seen.insert(name).second) throw Error{item_path, name + " occurs twice in a union"};
      node.children.push_back(branch_id);
    }
    return Add(std::move(node));
  }

  // Adds the node of a named type before its children are parsed, so that they can refer to it by name.
  NodeId DefineNamed(Type type, const json& text, const std::string& enclosing_namespace,
                     const std::string& path) {
    CountName(path);
    Node node;
    node.type = type;
    node.name = RequiredString(text, "name", path);
    if (!IsFullName(node.name)) throw Error{path + ".name", "invalid name: " + node.name};
    std::string own_namespace = enclosing_namespace;
    if (text.contains("namespace")) {
      own_namespace = RequiredString(text, "namespace", path);
      if (!own_namespace.empty() && !IsFullName(own_namespace))
        throw Error{path + ".namespace", "invalid namespace: " + own_namespace};
    }
    if (node.name.find('.') == std::string::npos && !own_namespace.empty())
      node.name = own_namespace + "." + node.name;
    if (PrimitiveType(Unqualified(node.name))) throw Error{path + ".name", "the name of a primitive type"};
    own_namespace = NamespaceOf(node.name);
    for (const std::string& alias : ParseNames(text, "aliases", path, true))
      node.aliases.insert(alias.find('.') == std::string::npos && !own_namespace.empty()
                              ? own_namespace + "." + alias
                              : alias);
    auto id = static_cast<NodeId>(schema_.nodes_.size());
    if (!named_.try_emplace(node.name, id).second)
      throw Error{path + ".name", node.name + " is defined twice"};
    paths_[id] = path;
    return Add(std::move(node));
  }

  NodeId ParseRecord(const json& text, const std::string& enclosing_namespace, const std::string& path) {
    NodeId id = DefineNamed(Type::kRecord, text, enclosing_namespace, path);
    std::string own_namespace = NamespaceOf(schema_.at(id).name);
    if (!text.contains("fields") || !text["fields"].is_array()) throw Error{path, "no array of fields"};
    std::vector<Field> fields;
    std::map<std::string, std::string> used;  // names and aliases, with their paths
    for (std::size_t i = 0; i < text["fields"].size(); ++i) {
      const json& from = text["fields"][i];
      std::string item_path = path + ".fields[" + std::to_string(i) + "]";
      if (!from.is_object()) throw Error{item_path, "not an object"};
      CountName(item_path);
      Field field;
      field.name = RequiredString(from, "name", item_path);
      if (!IsName(field.name)) throw Error{item_path + ".name", "invalid name: " + field.name};
      for (const std::string& alias : ParseNames(from, "aliases", item_path, false))
        field.aliases.insert(alias);
      field.aliases.erase(field.name);
      std::set<std::string> names = field.aliases;
      names.insert(field.name);
      for (const std::string& name : names) {
        auto [at, inserted] = used.try_emplace(name, item_path);
        if (!inserted) throw Error{item_path, name + " is the name or an alias of " + at->second + " too"};
      }
      if (from.contains("order")) {
        std::string order = RequiredString(from, "order", item_path);
        if (order != "ascending" && order != "descending" && order != "ignore")
          throw Error{item_path + ".order", "neither ascending, nor descending, nor ignore"};
      }
      if (!from.contains("type")) throw Error{item_path, "no type"};
      field.type = ParseType(from["type"], own_namespace, item_path + ".type");
      if (from.contains("default")) {
        field.default_value = from["default"];
        defaults_.push_back({id, i, item_path});
      }
      fields.push_back(std::move(field));
    }
    schema_.nodes_[id].fields = std::move(fields);
    return id;
  }

  NodeId ParseEnum(const json& text, const std::string& enclosing_namespace, const std::string& path) {
    NodeId id = DefineNamed(Type::kEnum, text, enclosing_namespace, path);
    Node& node = schema_.nodes_[id];
    node.symbols = ParseNames(text, "symbols", path, false);
    if (node.symbols.empty()) throw Error{path, "no symbols"};
    std::set<std::string> seen;
    for (const std::string& symbol : node.symbols)
      if (!seen.insert(symbol).second) throw Error{path + ".symbols", symbol + " occurs twice"};
    if (!text.contains("default")) return id;
    node.default_value = RequiredString(text, "default", path);
    if (!seen.contains(*node.default_value))
      throw Error{path + ".default", *node.default_value + " is not one of its symbols"};
    return id;
  }

  NodeId ParseFixed(const json& text, const std::string& enclosing_namespace, const std::string& path) {
    NodeId id = DefineNamed(Type::kFixed, text, enclosing_namespace, path);
    if (!text.contains("size") || !text["size"].is_number_unsigned() ||
        text["size"].get<std::uint64_t>() > std::numeric_limits<std::int32_t>::max())
      throw Error{path, "no size from 0 to 2147483647"};
    schema_.nodes_[id].size = text["size"].get<std::uint64_t>();
    return id;
  }

  static std::string RequiredString(const json& from, const char* key, const std::string& path) {
    if (!from.contains(key)) throw Error{path, "no " + std::string(key)};
    if (!from[key].is_string()) throw Error{path + "." + key, "not a string"};
    return from[key].get<std::string>();
  }
  std::vector<std::string> ParseNames(const json& from, const char* key, const std::string& path, bool full) {
    std::vector<std::string> names;
    if (!from.contains(key)) return names;
    if (!from[key].is_array()) throw Error{path + "." + key, "not an array of names"};
    for (std::size_t i = 0; i < from[key].size(); ++i) {
      const json& each = from[key][i];
      std::string item_path = path + "." + key + "[" + std::to_string(i) + "]";
      CountName(item_path);
      if (!each.is_string()) throw Error{item_path, "not a name"};
      names.push_back(each.get<std::string>());
      if (!(full ? IsFullName(names.back()) : IsName(names.back())))
        throw Error{item_path, "invalid name: " + names.back()};
    }
    return names;
  }

  // Rejects an alias that names two types: implementations differ in which of them they use.
  void CheckAliases() {
    std::map<std::string, std::string> used;
    for (const auto& [name, id] : named_) used[name] = name;
    for (const auto& [name, id] : named_) {
      schema_.nodes_[id].aliases.erase(name);
      for (const std::string& alias : schema_.nodes_[id].aliases) {
        auto [at, inserted] = used.try_emplace(alias, name);
        if (!inserted)
          throw Error{paths_[id] + ".aliases", alias + " is also the name or an alias of " + at->second};
      }
    }
  }

  // Prints a type's definition at its first use, as in the source, so that each name is parsed in the
  // namespace in which it was written.
  std::string PrintNode(NodeId id, const std::string& enclosing_namespace) {
    const Node& node = schema_.at(id);
    auto quoted = [](const std::string& text) { return json(text).dump(); };
    auto list = [&](const auto& texts) {
      std::string out;
      for (const std::string& text : texts) out += (out.empty() ? "" : ",") + quoted(text);
      return "[" + out + "]";
    };
    switch (node.type) {
      case Type::kArray:
        return R"({"type":"array","items":)" + PrintNode(node.children[0], enclosing_namespace) + "}";
      case Type::kMap:
        return R"({"type":"map","values":)" + PrintNode(node.children[0], enclosing_namespace) + "}";
      case Type::kUnion: {
        std::string out;
        for (NodeId branch_id : node.children)
          out += (out.empty() ? "" : ",") + PrintNode(branch_id, enclosing_namespace);
        return "[" + out + "]";
      }
      case Type::kRecord:
      case Type::kEnum:
      case Type::kFixed:
        break;
      default:
        return quoted(kTypeNames[static_cast<int>(node.type)]);
    }
    if (!printed_.insert(id).second) return quoted(node.name);
    std::string own_namespace = NamespaceOf(node.name);
    std::string out = "{\"name\":" + quoted(node.name);
    if (own_namespace.empty() && !enclosing_namespace.empty()) out += R"(,"namespace":"")";
    out += ",\"type\":" + quoted(kTypeNames[static_cast<int>(node.type)]);
    if (!node.aliases.empty()) out += ",\"aliases\":" + list(node.aliases);
    if (node.type == Type::kFixed) return out + ",\"size\":" + std::to_string(node.size) + "}";
    if (node.type == Type::kEnum) {
      out += ",\"symbols\":" + list(node.symbols);
      return out + (node.default_value ? ",\"default\":" + quoted(*node.default_value) : "") + "}";
    }
    std::string fields;
    for (const Field& field : node.fields) {
      fields += (fields.empty() ? "" : ",") + ("{\"name\":" + quoted(field.name));
      if (!field.aliases.empty()) fields += ",\"aliases\":" + list(field.aliases);
      fields += ",\"type\":" + PrintNode(field.type, own_namespace);
      if (field.default_value) fields += ",\"default\":" + field.default_value->dump();
      fields += "}";
    }
    return out + ",\"fields\":[" + fields + "]}";
  }

  struct Default {
    NodeId record;
    std::size_t field;
    std::string path;
  };
  const Limits limits_;
  Schema schema_;
  std::size_t name_count_ = 0;
  std::map<Type, NodeId> primitives_;
  std::map<std::string, NodeId> named_;
  std::map<NodeId, std::string> paths_;
  std::vector<Default> defaults_;
  std::set<NodeId> printed_;
};

std::variant<Schema, Error> Schema::Parse(std::string_view text, const Limits& limits) {
  if (text.size() > limits.bytes) return Error{"$", "more than " + std::to_string(limits.bytes) + " bytes"};
  DuplicateKeyGuard guard(limits.depth);
  if (!json::sax_parse(text, &guard)) return Error{"$", guard.Message()};
  json parsed = json::parse(text, nullptr, false);
  if (parsed.is_discarded()) return Error{"$", "invalid JSON"};
  try {
    return SchemaParser(limits).Build(parsed);
  } catch (Error& error) {
    return std::move(error);
  }
}

}  // namespace peatbend::compat
