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

std::optional<Type> Primitive(std::string_view name) {
  for (std::size_t i = 0; i < kPrimitives; ++i)
    if (name == kTypeNames[i]) return static_cast<Type>(i);
  return std::nullopt;
}

std::string NamespaceOf(const std::string& name) {
  std::size_t dot = name.rfind('.');
  return dot == std::string::npos ? "" : name.substr(0, dot);
}

// Finds a key that stands twice in an object: readers differ in which of the two they take.
class TwiceGuard : public net::DepthGuard {
 public:
  using DepthGuard::DepthGuard;
  bool start_object(std::size_t n) override {
    keys_.emplace_back();
    return DepthGuard::start_object(n);
  }
  bool key(string_t& key) override {
    if (!keys_.back().insert(key).second) twice_ = key;
    return twice_.empty();
  }
  bool end_object() override {
    keys_.pop_back();
    return DepthGuard::end_object();
  }
  bool parse_error(std::size_t at, const std::string&, const nlohmann::detail::exception&) override {
    bad_ = at;
    return false;
  }
  std::string Why() const {
    if (!twice_.empty()) return "the key " + twice_ + " stands twice in an object";
    return bad_ > 0 ? "no JSON at byte " + std::to_string(bad_) : "nested too deep";
  }

 private:
  std::vector<std::set<std::string>> keys_;
  std::string twice_;
  std::size_t bad_ = 0;
};

}  // namespace

// Builds one schema; throws an Error, which Parse hands on.
class Reader {
 public:
  explicit Reader(const Limits& limits) : limits_(limits) {}

  Schema Read(const json& text) {
    schema_.root_ = Type_(text, "", "$");
    CheckAliases();
    Defaults defaults(schema_.nodes_);
    for (auto step : {&Defaults::Fit, &Defaults::Ends}) {
      for (const auto& [id, i, path] : defaults_) {
        std::string why = (defaults.*step)(id, i);
        if (!why.empty()) throw Error{path + ".default", why};
      }
    }
    schema_.text_ = Print(schema_.root_, "");
    schema_.fingerprint_ = XXH3_64bits(schema_.text_.data(), schema_.text_.size());
    return std::move(schema_);
  }

 private:
  NodeId Add(Node node) {
    schema_.nodes_.push_back(std::move(node));
    return static_cast<NodeId>(schema_.nodes_.size() - 1);
  }
  void Count(const std::string& path) {
    if (++names_ > limits_.names) throw Error{path, "more than " + std::to_string(limits_.names) + " names"};
  }

  NodeId Type_(const json& text, const std::string& space, const std::string& path) {
    if (text.is_string()) return Reference(text.get<std::string>(), space, path);
    if (text.is_array()) return Union(text, space, path);
    if (!text.is_object()) throw Error{path, "neither a name, nor an object, nor a union"};
    std::string type = Text(text, "type", path);
    if (type == "record") return Record(text, space, path);
    if (type == "enum") return Enum(text, space, path);
    if (type == "fixed") return Fixed(text, space, path);
    if (type == "array" || type == "map") {
      const char* key = type == "array" ? "items" : "values";
      if (!text.contains(key)) throw Error{path, "no " + std::string(key)};
      Node node;
      node.type = type == "array" ? Type::kArray : Type::kMap;
      node.parts = {Type_(text[key], space, path + "." + key)};
      return Add(std::move(node));
    }
    return Reference(type, space, path + ".type");
  }

  NodeId Reference(const std::string& name, const std::string& space, const std::string& path) {
    if (auto primitive = Primitive(name)) {
      auto [at, fresh] = primitives_.try_emplace(*primitive, 0);
      if (fresh) {
        Node node;
        node.type = *primitive;
        at->second = Add(std::move(node));
      }
      return at->second;
    }
    std::string full = name.find('.') == std::string::npos && !space.empty() ? space + "." + name : name;
    auto at = named_.find(full);
    if (at == named_.end()) throw Error{path, "no type " + full + " is defined before this"};
    return at->second;
  }

  NodeId Union(const json& text, const std::string& space, const std::string& path) {
    if (text.empty()) throw Error{path, "a union of nothing"};
    Node node;
    node.type = Type::kUnion;
    std::set<std::string> seen;
    for (std::size_t i = 0; i < text.size(); ++i) {
      std::string place = path + "[" + std::to_string(i) + "]";
      NodeId part = Type_(text[i], space, place);
      const Node& branch = schema_.at(part);
      if (branch.type == Type::kUnion) throw Error{place, "a union within a union"};
      std::string name = Named(branch.type) ? branch.name : kTypeNames[static_cast<int>(branch.type)];
      if (!seen.insert(name).second) throw Error{place, name + " stands twice in a union"};
      node.parts.push_back(part);
    }
    return Add(std::move(node));
  }

  // The node of a named type is known by its name before its parts are read.
  NodeId Define(Type type, const json& text, const std::string& space, const std::string& path) {
    Count(path);
    Node node;
    node.type = type;
    node.name = Text(text, "name", path);
    if (!IsFullName(node.name)) throw Error{path + ".name", "no name: " + node.name};
    std::string own = space;
    if (text.contains("namespace")) {
      own = Text(text, "namespace", path);
      if (!own.empty() && !IsFullName(own)) throw Error{path + ".namespace", "no namespace: " + own};
    }
    if (node.name.find('.') == std::string::npos && !own.empty()) node.name = own + "." + node.name;
    if (Primitive(Unqualified(node.name))) throw Error{path + ".name", "the name of a primitive type"};
    own = NamespaceOf(node.name);
    for (const std::string& alias : Names(text, "aliases", path, true))
      node.aliases.insert(alias.find('.') == std::string::npos && !own.empty() ? own + "." + alias : alias);
    auto id = static_cast<NodeId>(schema_.nodes_.size());
    if (!named_.try_emplace(node.name, id).second)
      throw Error{path + ".name", node.name + " is defined twice"};
    paths_[id] = path;
    return Add(std::move(node));
  }

  NodeId Record(const json& text, const std::string& space, const std::string& path) {
    NodeId id = Define(Type::kRecord, text, space, path);
    std::string own = NamespaceOf(schema_.at(id).name);
    if (!text.contains("fields") || !text["fields"].is_array()) throw Error{path, "no array of fields"};
    std::vector<Field> fields;
    std::map<std::string, std::string> taken;  // names and aliases, with their paths
    for (std::size_t i = 0; i < text["fields"].size(); ++i) {
      const json& from = text["fields"][i];
      std::string place = path + ".fields[" + std::to_string(i) + "]";
      if (!from.is_object()) throw Error{place, "no object"};
      Count(place);
      Field field;
      field.name = Text(from, "name", place);
      if (!IsName(field.name)) throw Error{place + ".name", "no name: " + field.name};
      for (const std::string& alias : Names(from, "aliases", place, false)) field.aliases.insert(alias);
      field.aliases.erase(field.name);
      std::set<std::string> names = field.aliases;
      names.insert(field.name);
      for (const std::string& name : names) {
        auto [at, fresh] = taken.try_emplace(name, place);
        if (!fresh) throw Error{place, name + " is the name or an alias of " + at->second + " too"};
      }
      if (from.contains("order")) {
        std::string order = Text(from, "order", place);
        if (order != "ascending" && order != "descending" && order != "ignore")
          throw Error{place + ".order", "neither ascending, nor descending, nor ignore"};
      }
      if (!from.contains("type")) throw Error{place, "no type"};
      field.type = Type_(from["type"], own, place + ".type");
      if (from.contains("default")) {
        field.fallback = from["default"];
        defaults_.push_back({id, i, place});
      }
      fields.push_back(std::move(field));
    }
    schema_.nodes_[id].fields = std::move(fields);
    return id;
  }

  NodeId Enum(const json& text, const std::string& space, const std::string& path) {
    NodeId id = Define(Type::kEnum, text, space, path);
    Node& node = schema_.nodes_[id];
    node.symbols = Names(text, "symbols", path, false);
    if (node.symbols.empty()) throw Error{path, "no symbols"};
    std::set<std::string> seen;
    for (const std::string& symbol : node.symbols)
      if (!seen.insert(symbol).second) throw Error{path + ".symbols", symbol + " stands twice"};
    if (!text.contains("default")) return id;
    node.fallback = Text(text, "default", path);
    if (!seen.contains(*node.fallback))
      throw Error{path + ".default", *node.fallback + " is no symbol of it"};
    return id;
  }

  NodeId Fixed(const json& text, const std::string& space, const std::string& path) {
    NodeId id = Define(Type::kFixed, text, space, path);
    if (!text.contains("size") || !text["size"].is_number_unsigned() ||
        text["size"].get<std::uint64_t>() > std::numeric_limits<std::int32_t>::max())
      throw Error{path, "no size from 0 to 2147483647"};
    schema_.nodes_[id].size = text["size"].get<std::uint64_t>();
    return id;
  }

  static std::string Text(const json& from, const char* key, const std::string& path) {
    if (!from.contains(key)) throw Error{path, "no " + std::string(key)};
    if (!from[key].is_string()) throw Error{path + "." + key, "no string"};
    return from[key].get<std::string>();
  }
  std::vector<std::string> Names(const json& from, const char* key, const std::string& path, bool full) {
    std::vector<std::string> names;
    if (!from.contains(key)) return names;
    if (!from[key].is_array()) throw Error{path + "." + key, "no array of names"};
    for (std::size_t i = 0; i < from[key].size(); ++i) {
      const json& each = from[key][i];
      std::string place = path + "." + key + "[" + std::to_string(i) + "]";
      Count(place);
      if (!each.is_string()) throw Error{place, "no name"};
      names.push_back(each.get<std::string>());
      if (!(full ? IsFullName(names.back()) : IsName(names.back())))
        throw Error{place, "no name: " + names.back()};
    }
    return names;
  }

  // What stands for two types is taken for one by some readers, for the other by others.
  void CheckAliases() {
    std::map<std::string, std::string> taken;
    for (const auto& [name, id] : named_) taken[name] = name;
    for (const auto& [name, id] : named_) {
      schema_.nodes_[id].aliases.erase(name);
      for (const std::string& alias : schema_.nodes_[id].aliases) {
        auto [at, fresh] = taken.try_emplace(alias, name);
        if (!fresh) throw Error{paths_[id] + ".aliases", alias + " stands for " + at->second + " too"};
      }
    }
  }

  // A type's first place has its definition, as in what was read, so that each name is read in the namespace
  // that it was written in.
  std::string Print(NodeId id, const std::string& space) {
    const Node& node = schema_.at(id);
    auto quoted = [](const std::string& text) { return json(text).dump(); };
    auto list = [&](const auto& texts) {
      std::string out;
      for (const std::string& text : texts) out += (out.empty() ? "" : ",") + quoted(text);
      return "[" + out + "]";
    };
    switch (node.type) {
      case Type::kArray:
        return R"({"type":"array","items":)" + Print(node.parts[0], space) + "}";
      case Type::kMap:
        return R"({"type":"map","values":)" + Print(node.parts[0], space) + "}";
      case Type::kUnion: {
        std::string out;
        for (NodeId part : node.parts) out += (out.empty() ? "" : ",") + Print(part, space);
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
    std::string own = NamespaceOf(node.name);
    std::string out = "{\"name\":" + quoted(node.name);
    if (own.empty() && !space.empty()) out += R"(,"namespace":"")";
    out += ",\"type\":" + quoted(kTypeNames[static_cast<int>(node.type)]);
    if (!node.aliases.empty()) out += ",\"aliases\":" + list(node.aliases);
    if (node.type == Type::kFixed) return out + ",\"size\":" + std::to_string(node.size) + "}";
    if (node.type == Type::kEnum) {
      out += ",\"symbols\":" + list(node.symbols);
      return out + (node.fallback ? ",\"default\":" + quoted(*node.fallback) : "") + "}";
    }
    std::string fields;
    for (const Field& field : node.fields) {
      fields += (fields.empty() ? "" : ",") + ("{\"name\":" + quoted(field.name));
      if (!field.aliases.empty()) fields += ",\"aliases\":" + list(field.aliases);
      fields += ",\"type\":" + Print(field.type, own);
      if (field.fallback) fields += ",\"default\":" + field.fallback->dump();
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
  std::size_t names_ = 0;
  std::map<Type, NodeId> primitives_;
  std::map<std::string, NodeId> named_;
  std::map<NodeId, std::string> paths_;
  std::vector<Default> defaults_;
  std::set<NodeId> printed_;
};

std::variant<Schema, Error> Schema::Parse(std::string_view text, const Limits& limits) {
  if (text.size() > limits.bytes) return Error{"$", "more than " + std::to_string(limits.bytes) + " bytes"};
  TwiceGuard guard(limits.depth);
  if (!json::sax_parse(text, &guard)) return Error{"$", guard.Why()};
  json parsed = json::parse(text, nullptr, false);
  if (parsed.is_discarded()) return Error{"$", "no JSON"};
  try {
    return Reader(limits).Read(parsed);
  } catch (Error& error) {
    return std::move(error);
  }
}

}  // namespace peatbend::compat
