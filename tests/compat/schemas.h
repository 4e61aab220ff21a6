// Random schemas, and random changes to them such as publishers make.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "world/random.h"

namespace peatbend::compat {

using nlohmann::json;

// Calls `visit` with each type in the schema.
template <typename Visit>
void EachType(json& type, Visit visit) {
  visit(type);
  if (type.is_array()) {
    for (json& branch : type) EachType(branch, visit);
  } else if (type.is_object()) {
    for (const char* key : {"items", "values"})
      if (type.contains(key)) EachType(type[key], visit);
    if (!type.contains("fields")) return;
    for (json& field : type["fields"]) EachType(field["type"], visit);
  }
}

class SchemaGenerator {
 public:
  SchemaGenerator(std::uint64_t seed, std::uint64_t stream) : random_(seed, stream) {}

  json Make() {
    defined_.clear();
    json schema = MakeType(3, true);
    for (int i = Below(4) == 0 ? 20 : 0; i < 20 && !(schema.is_object() && schema["type"] == "record"); ++i) {
      defined_.clear();
      schema = MakeType(3, true);
    }
    return schema;
  }
  // Changes that many types in it; the result need not be a valid schema.
  json Mutate(json schema, std::uint32_t places) {
    while (places-- > 0) {
      std::vector<json*> types;
      EachType(schema, [&](json& type) { types.push_back(&type); });
      Mutate(*types[random_.Below(static_cast<std::uint32_t>(types.size()))]);
    }
    return schema;
  }
  // Replaces each union by one of its branches.
  json Narrow(json schema) {
    EachType(schema, [&](json& type) {
      if (type.is_array()) type = json(type[Below(static_cast<std::uint32_t>(type.size()))]);
    });
    return schema;
  }
  std::uint32_t Below(std::uint32_t bound) { return random_.Below(bound); }

 private:
  template <typename T>
  T Pick(const std::vector<T>& from) {
    return from[Below(static_cast<std::uint32_t>(from.size()))];
  }
  std::string Primitive() {
    return Pick<std::string>(
        {"null", "boolean", "int", "long", "float", "double", "bytes", "string", "int", "long"});
  }
  std::string Name(const char* kind) { return kind + std::to_string(Below(4)); }
  json Define(const char* kind, const char* letter) {
    json type{{"type", kind}, {"name", Name(letter)}};
    if (random_.Chance(0.3)) type["namespace"] = Pick<std::string>({"a", "b.c"});
    if (random_.Chance(0.05)) type["aliases"] = json::array({Name(letter)});
    std::string space = type.value("namespace", "");
    defined_.push_back((space.empty() ? "" : space + ".") + type["name"].get<std::string>());
    return type;
  }
  json MakeType(int depth, bool unions) {
    std::uint32_t kind = Below(depth > 0 ? 13 : 6);
    if (kind < 5) return Primitive();
    if (kind == 5) return defined_.empty() || !unions ? json(Primitive()) : json(Pick(defined_));
    if (kind == 6) return json{{"type", "array"}, {"items", MakeType(depth - 1, true)}};
    if (kind == 7) return json{{"type", "map"}, {"values", MakeType(depth - 1, true)}};
    if (kind == 8) {
      json type = Define("enum", "E");
      type["symbols"] = json::array({"A"});
      for (const char* each : {"B", "C", "D"})
        if (random_.Chance(0.5)) type["symbols"].push_back(each);
      if (random_.Chance(0.2)) type["default"] = "A";
      return type;
    }
    if (kind == 9) {
      json type = Define("fixed", "F");
      type["size"] = 1 + Below(3);
      return type;
    }
    if (kind == 10 && unions) {
      json type = json::array();
      for (std::uint32_t i = 0, n = 1 + Below(4); i < n; ++i) type.push_back(MakeType(Below(3), false));
      return type;
    }
    json type = Define("record", "R");
    type["fields"] = json::array();
    for (std::uint32_t i = 0, n = Below(5); i < n; ++i) type["fields"].push_back(MakeField(depth - 1));
    return type;
  }
  json MakeField(int depth) {
    json field{{"name", Name("f") + (Below(2) > 0 ? "x" : "")}, {"type", MakeType(depth, true)}};
    if (random_.Chance(0.4)) AddDefault(field);
    return field;
  }
  void AddDefault(json& field) {
    const json* type = &field["type"];
    if (type->is_array()) type = &(*type)[0];
    std::string name = type->is_string() ? type->get<std::string>() : (*type)["type"].get<std::string>();
    if (name == "null") field["default"] = nullptr;
    if (name == "boolean") field["default"] = true;
    if (name == "int" || name == "long" || name == "float" || name == "double") field["default"] = 7;
    if (name == "bytes" || name == "string") field["default"] = "x";
    if (name == "array") field["default"] = json::array();
    if (name == "map" || name == "record") field["default"] = json::object();
    if (name == "enum") field["default"] = "A";
  }

  void Mutate(json& type) {
    if (random_.Chance(0.08)) {
      type = random_.Chance(0.5) ? json::array({"null", type}) : MakeType(1, true);
    } else if (type.is_string()) {
      static const std::vector<std::string> up{"int", "long", "float", "double"};
      auto at = std::find(up.begin(), up.end(), type.get<std::string>());
      if (type == "string" || type == "bytes") {
        type = type == "string" ? "bytes" : "string";
      } else if (at < up.end() - 1 && random_.Chance(0.8)) {
        type = *(at + 1);
      } else {
        type = Primitive();
      }
    } else if (type.is_array()) {
      if (type.size() > 1 && random_.Chance(0.3))
        type.erase(Below(static_cast<std::uint32_t>(type.size())));
      else if (random_.Chance(0.5))
        type.push_back(MakeType(1, false));
      else
        std::swap(type[0], type[Below(static_cast<std::uint32_t>(type.size()))]);
    } else if (!type.contains("name")) {
      if (random_.Chance(0.1)) type = MakeType(1, true);
    } else if (random_.Chance(0.15)) {
      std::string space = type.value("namespace", "");
      std::string old = (space.empty() ? "" : space + ".") + type["name"].get<std::string>();
      if (random_.Chance(0.3))
        type["namespace"] = Pick<std::string>({"", "a", "b.c"});
      else
        type["name"] = std::string(1, type["name"].get<std::string>()[0]) + std::to_string(Below(4));
      if (random_.Chance(0.7)) type["aliases"] = json::array({old});
    } else if (type["type"] == "fixed") {
      type["size"] = 1 + Below(3);
    } else if (type["type"] == "enum") {
      if (type["symbols"].size() > 1 && random_.Chance(0.5))
        type["symbols"].erase(type["symbols"].size() - 1);
      else
        type["symbols"].push_back(Pick<std::string>({"B", "C", "D", "E"}));
      if (random_.Chance(0.3)) type["default"] = "A";
    } else {
      MutateFields(type["fields"]);
    }
  }
  void MutateFields(json& fields) {
    auto size = static_cast<std::uint32_t>(fields.size());
    std::uint32_t kind = size == 0 ? 0 : Below(4);
    if (kind == 0) fields.push_back(MakeField(1));
    if (kind == 1) fields.erase(Below(size));
    if (kind == 2) std::swap(fields[0], fields[Below(size)]);
    if (kind == 3) {
      json& field = fields[Below(size)];
      if (random_.Chance(0.7)) field["aliases"] = json::array({field["name"]});
      field["name"] = "g" + std::to_string(Below(4));
    }
  }

  world::Random random_;
  std::vector<std::string> defined_;
};

}  // namespace peatbend::compat
