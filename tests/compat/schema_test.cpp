// Which texts are schemas, which schemas are equal, and which can read data of which.
#include <doctest/doctest.h>

#include "compat/resolve.h"

namespace peatbend::compat {
namespace {

Schema ParseValid(const std::string& text) {
  auto parsed = Schema::Parse(text);
  if (const Error* error = std::get_if<Error>(&parsed))
    FAIL(text << ": " << error->path << ": " << error->what);
  return std::get<Schema>(parsed);
}
std::string ErrorOf(const std::string& text, const Limits& limits = {}) {
  auto parsed = Schema::Parse(text, limits);
  const Error* error = std::get_if<Error>(&parsed);
  return error == nullptr ? "read" : error->path + ": " + error->what;
}
std::string DifferencesOf(const std::string& writer, const std::string& reader) {
  std::string all;
  for (const Difference& each : Resolve(ParseValid(writer), ParseValid(reader)))
    all += (all.empty() ? "" : "; ") + each.path + " " + kRuleNames[static_cast<int>(each.rule)];
  return all;
}
std::string Record(const std::string& fields, const std::string& name = "R") {
  return R"({"type":"record","name":")" + name + R"(","fields":[)" + fields + "]}";
}

TEST_CASE("the error of an invalid schema names its path") {
  for (const auto& [text, error] : std::vector<std::pair<std::string, std::string>>{
           {R"("int")", "read"},
           {"{", "$: invalid JSON at byte"},
           {R"({"type":"int","type":"long"})", "$: the key type occurs twice"},
           {"7", "$: neither a name"},
           {R"("R")", "$: no type R is defined"},
           {R"({"type":"array"})", "$: no items"},
           {R"({"type":"map","values":[]})", "$.values: an empty union"},
           {R"(["int",["null"]])", "$[1]: a union within"},
           {R"(["int","int"])", "$[1]: int occurs twice"},
           {R"({"type":"enum","name":"E","symbols":["A","A"]})", "$.symbols: A occurs twice"},
           {R"({"type":"enum","name":"E","symbols":["A-"]})", "$.symbols[0]: invalid name"},
           {R"({"type":"enum","name":"E","symbols":["A"],"default":"B"})",
            "$.default: B is not one of its symbols"},
           {R"({"type":"fixed","name":"F","size":-1})", "$: no size"},
           {R"({"type":"fixed","name":"a.int","size":1})", "$.name: the name of a primitive"},
           {R"({"type":"fixed","name":"F","namespace":"a..b","size":1})", "$.namespace: invalid namespace"},
           {Record(R"({"name":"a","type":"int"},{"name":"a","type":"int"})"), "$.fields[1]: a is the name"},
           {Record(R"({"name":"a","type":"int"},{"name":"b","aliases":["a"],"type":"int"})"),
            "$.fields[1]: a is the name or an alias of $.fields[0]"},
           {Record(R"({"name":"a","type":"no"})"), "$.fields[0].type: no type no"},
           {Record(R"({"name":"a","type":"int","order":"up"})"), "$.fields[0].order: neither"},
           {Record(R"({"name":"a","type":"int","default":2147483648})"),
            "$.fields[0].default: no int: 2147483648"},
           {Record(R"({"name":"a","type":["null","int"],"default":1})"), "$.fields[0].default: no null: 1"},
           {Record(R"({"name":"a","type":"bytes","default":"Ā"})"), "$.fields[0].default: no bytes"},
           {Record(R"({"name":"a","type":"bytes","default":"ÿ"})"), "read"},
           {Record(R"({"name":"a","type":"R","default":{}})"),
            "$.fields[0].default: a default that contains"},
           {Record(R"({"name":"a","type":["null","R"],"default":null})"), "read"},
           {R"([{"type":"fixed","name":"F","size":1},{"type":"fixed","name":"G","aliases":["F"],"size":1}])",
            "$[1].aliases: F is also the name or an alias of F"},
       }) {
    CAPTURE(text);
    CHECK(ErrorOf(text).substr(0, error.size()) == error);
  }
}

TEST_CASE("schemas are bounded in bytes, depth and names") {
  CHECK(ErrorOf(R"("int")", {.bytes = 4}) == "$: more than 4 bytes");
  std::string deep = R"("int")";
  for (int i = 0; i < 31; ++i) deep = R"({"type":"array","items":)" + deep + "}";
  CHECK(ErrorOf(deep) == "read");
  CHECK(ErrorOf(deep, {.depth = 30}) == "$: nested too deep");
  CHECK(ErrorOf(std::string(60'000, '[')) == "$: nested too deep");
  CHECK(ErrorOf(R"({"type":"enum","name":"E","symbols":["A","B","C"]})", {.names = 3}) ==
        "$.symbols[2]: more than 3 names");
}

TEST_CASE("equal schemas have one canonical text, which parses as the same schema") {
  auto one =
      ParseValid(R"({"type":"record","name":"R","namespace":"a.b","doc":"x","aliases":["Y","X"],"fields":[
    {"name":"f","type":{"type":"fixed","name":"F","size":3,"logicalType":"decimal"}},
    {"name":"g","type":["double","F"],"default":1,"order":"ignore"},
    {"name":"h","type":{"type":"record","name":"N","namespace":"","fields":[{"name":"n","type":["null","N"]}]}}]})");
  auto other = ParseValid(R"({"fields":[{"type":{"type":"fixed","size":3,"name":"a.b.F"},"name":"f"},
    {"default":1.0,"name":"g","type":["double","a.b.F"]},
    {"name":"h","type":{"namespace":"","name":"N","type":"record","fields":[{"name":"n","type":["null","N"]}]}}],
    "name":"a.b.R","aliases":["a.b.X","a.b.Y"],"type":"record"})");
  CHECK(one == other);
  CHECK(one.fingerprint() == other.fingerprint());
  CHECK(ParseValid(one.text()) == one);
  CHECK_FALSE(one == ParseValid(R"("int")"));
  CHECK(one.text().find(R"({"name":"N","namespace":"","type":"record")") != std::string::npos);
}

TEST_CASE("resolution of a writer's and a reader's schema") {
  auto enumeration = [](const std::string& rest) { return R"({"type":"enum","name":"E",)" + rest + "}"; };
  std::string ab = Record(R"({"name":"a","type":"int"},{"name":"b","type":"string"})");
  for (const auto& [writer, reader, differences] : std::vector<std::array<std::string, 3>>{
           {R"("int")", R"("double")", ""},
           {R"("double")", R"("int")", "$ type"},
           {R"("bytes")", R"("string")", ""},
           {R"("string")", R"("bytes")", ""},
           {R"(["int","string"])", R"("int")", "$<1> type"},
           {R"("string")", R"(["int","null"])", "$ branch"},
           {R"(["null","int"])", R"(["long","null"])", ""},
           {ab, Record(R"({"name":"a","type":"long"})"), ""},
           {ab, Record(R"({"name":"c","type":"int"})"), "$.c default"},
           {ab, Record(R"({"name":"c","type":"int","default":3})"), ""},
           {ab, Record(R"({"name":"c","aliases":["a"],"type":"int"})"), ""},
           {ab, Record(R"({"name":"c","aliases":["a","b"],"type":"int"})"), "$.c alias; $.c type"},
           {ab, Record("", "x.R"), ""},
           {ab, Record("", "S"), "$ name"},
           {ab, R"({"type":"record","name":"S","aliases":["R"],"fields":[]})", ""},
           {enumeration(R"("symbols":["A","B"])"), enumeration(R"("symbols":["A"])"), "$ symbol"},
           {enumeration(R"("symbols":["A","B"])"), enumeration(R"("symbols":["A"],"default":"A")"), ""},
           {R"({"type":"fixed","name":"F","size":2})", R"({"type":"fixed","name":"F","size":3})", "$ size"},
           {R"({"type":"array","items":{"type":"map","values":"long"}})",
            R"({"type":"array","items":{"type":"map","values":"int"}})", "$[]{} type"},
           // The first branch that matches is chosen, even if only a later one could be read.
           {Record(R"({"name":"a","type":"int"})", "b.R"),
            "[" + Record(R"({"name":"a","type":"string"})", "a.R") + "," +
                Record(R"({"name":"a","type":"int"})", "b.R") + "]",
            "$>0.a type"},
           // A recursive type is compared once.
           {Record(R"({"name":"n","type":["null","R"]},{"name":"v","type":"string"})"),
            Record(R"({"name":"n","type":["null","R"]},{"name":"v","type":"int"})"), "$.v type"},
       }) {
    CAPTURE(writer);
    CAPTURE(reader);
    CHECK(DifferencesOf(writer, reader) == differences);
  }
}

}  // namespace
}  // namespace peatbend::compat
