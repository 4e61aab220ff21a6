// Compares Resolve with libavro on the same pairs of schemas. They need not agree, but each disagreement must
// have one of the reasons that docs/design/compat.md names, and removing that reason must make them agree.
#include <avro.h>
#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <set>

#include "compat/resolve.h"
#include "compat/schemas.h"

namespace peatbend::compat {
namespace {

using Pair = std::pair<json, json>;  // writer, reader
using AvroSchema =
    std::unique_ptr<avro_obj_t, decltype([](avro_obj_t* schema) { avro_schema_decref(schema); })>;

AvroSchema Avro(const json& schema) {
  std::string text = schema.dump();
  avro_schema_t into = nullptr;
  if (avro_schema_from_json_length(text.data(), text.size(), &into) != 0) return nullptr;
  return AvroSchema(into);
}

enum AvroVerdict : char { kReads, kRejects, kNoSchema, kCrashes };

AvroVerdict AskAvro(const json& writer, const json& reader) {
  AvroSchema w = Avro(writer), r = Avro(reader);
  if (!w || !r) return kNoSchema;
  avro_value_iface_t* resolved = avro_resolved_reader_new(w.get(), r.get());
  if (resolved != nullptr) avro_value_iface_decref(resolved);
  return resolved != nullptr ? kReads : kRejects;
}

// Runs in a child process: libavro 1.11.1 crashes where it should reject the items of an array or the values
// of a map.
std::vector<AvroVerdict> AskAvro(const std::vector<Pair>& pairs) {
  std::vector<AvroVerdict> verdicts;
  while (verdicts.size() < pairs.size()) {
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    pid_t child = fork();
    REQUIRE(child >= 0);
    if (child == 0) {
      for (int each : {SIGSEGV, SIGABRT}) std::signal(each, SIG_DFL);
      if (std::freopen("/dev/null", "w", stderr) == nullptr) _exit(1);
      for (std::size_t i = verdicts.size(); i < pairs.size(); ++i) {
        AvroVerdict verdict = AskAvro(pairs[i].first, pairs[i].second);
        if (write(ends[1], &verdict, 1) != 1) break;
      }
      _exit(0);
    }
    close(ends[1]);
    for (AvroVerdict verdict; read(ends[0], &verdict, 1) == 1;) verdicts.push_back(verdict);
    close(ends[0]);
    int status = 0;
    REQUIRE(waitpid(child, &status, 0) == child);
    bool whole = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    REQUIRE((whole ? verdicts.size() == pairs.size() : verdicts.size() < pairs.size()));
    if (!whole) verdicts.push_back(kCrashes);
  }
  return verdicts;
}

std::optional<Schema> Ours(const json& schema) {
  auto parsed = Schema::Parse(schema.dump());
  if (!std::holds_alternative<Schema>(parsed)) return std::nullopt;
  return std::get<Schema>(std::move(parsed));
}

bool IsReadable(const json& writer, const json& reader) {
  auto w = Ours(writer), r = Ours(reader);
  return w && r && Resolve(*w, *r).empty();
}

// Removes a key that libavro does not support.
json Without(json schema, const char* key, bool fields) {
  EachType(schema, [&](json& type) {
    if (!type.is_object()) return;
    type.erase(key);
    if (fields && type.contains("fields"))
      for (json& field : type["fields"]) field.erase(key);
  });
  return schema;
}
void EachBranchOnce(json& type) {
  if (!type.is_array()) return;
  json kept = json::array();
  for (const json& branch : type)
    if (std::ranges::find(kept, branch) == kept.end()) kept.push_back(branch);
  type = kept;
}
json BytesAsStrings(json schema) {
  EachType(schema, [](json& type) {
    if (type == "bytes") type = "string";
  });
  EachType(schema, EachBranchOnce);
  return schema;
}
// Moves all fixed types into one namespace, renamed by name and size.
json FixedInOneNamespace(const json& from) {
  json schema = json::parse(Ours(from)->text());
  std::map<std::string, std::string> names;
  std::set<std::string> defined;
  EachType(schema, [&](json& type) {
    if (!type.is_object() || type["type"] != "fixed") return;
    std::string name = type["name"];
    names[name] = "z." + std::string(Unqualified(name)) + "s" + type["size"].dump();
    if (defined.insert(names[name]).second)
      type["name"] = names[name];
    else
      type = name;
  });
  EachType(schema, [&](json& type) {
    if (type.is_string() && names.contains(type)) type = names[type];
  });
  EachType(schema, EachBranchOnce);
  return schema;
}

// Swaps two branches of a union that differ only in their namespace.
json SwapNamesakes(json schema) {
  EachType(schema, [](json& type) {
    for (std::size_t i = 0; type.is_array() && i < type.size(); ++i) {
      for (std::size_t j = i + 1; j < type.size(); ++j) {
        if (!type[i].is_object() || !type[j].is_object() || !type[i].contains("name")) continue;
        if (type[i]["type"] == type[j]["type"] && type[i]["name"] == type[j]["name"])
          return type[i].swap(type[j]);
      }
    }
  });
  return schema;
}

// Why the two disagree; empty if no known reason explains it.
std::string ReasonOf(const json& writer, const json& reader, const std::vector<Difference>& found) {
  if (found.empty()) {  // libavro rejects
    json defaults = Without(reader, "default", true), neither = Without(defaults, "aliases", true);
    if (!IsReadable(writer, defaults)) return "defaults";
    if (!IsReadable(writer, Without(reader, "aliases", true))) return "aliases";
    if (!IsReadable(writer, neither)) return "defaults and aliases";
    json w = FixedInOneNamespace(writer), r = FixedInOneNamespace(reader), s = BytesAsStrings(writer),
         t = BytesAsStrings(reader);
    auto verdicts = AskAvro({{w, r}, {s, t}, {BytesAsStrings(w), BytesAsStrings(r)}});
    if (verdicts[0] == kReads) return "fixed in another namespace";
    if (verdicts[1] == kReads) return "bytes and strings";
    return verdicts[2] == kReads ? "bytes and strings, fixed in another namespace" : "";
  }
  if (IsReadable(writer, SwapNamesakes(reader))) return "the first branch that matches";
  bool branches = false, symbols = false;
  for (const Difference& each : found) {
    if (each.path.find('<') != std::string::npos)
      branches = true;
    else if (each.rule == Rule::kSymbol)
      symbols = true;
    else
      return "";
  }
  return branches && symbols ? "writer's branches, symbols" : branches ? "writer's branches" : "symbols";
}

TEST_CASE("libavro agrees with us, or the reason is known") {
  std::uint64_t pairs = 4000, seed = 1;
  if (const char* more = std::getenv("PEATBEND_LONG")) pairs = std::strtoull(more, nullptr, 10);
  if (const char* other = std::getenv("PEATBEND_SEED")) seed = std::strtoull(other, nullptr, 10);
  std::map<std::string, std::uint64_t> counts;
  SchemaGenerator generator(seed, 7);
  std::vector<Pair> chunk;
  for (std::uint64_t done = 0; done < pairs; done += chunk.size()) {
    chunk.clear();
    while (chunk.size() < 1000) {
      json from = generator.Make();
      json to = generator.Below(20) == 0 ? generator.Make() : generator.Mutate(from, generator.Below(4));
      if (generator.Below(2) == 0) std::swap(from, to);
      if (generator.Below(2) == 0) from = generator.Narrow(from);  // so that both answer the same question
      if (Ours(from) && Ours(to)) chunk.emplace_back(std::move(from), std::move(to));
    }
    std::vector<AvroVerdict> verdicts = AskAvro(chunk);
    for (std::size_t i = 0; i < chunk.size(); ++i) {
      const auto& [writer, reader] = chunk[i];
      auto found = Resolve(*Ours(writer), *Ours(reader));
      bool reads = verdicts[i] == kReads, agree = verdicts[i] != kNoSchema && reads == found.empty();
      std::string reason = agree ? "" : ReasonOf(writer, reader, found);
      ++counts[(reads                     ? "libavro reads"
                : verdicts[i] == kCrashes ? "libavro dies"
                                          : "libavro refuses") +
               (agree ? ", as we do" : ": " + reason)];
      CHECK_MESSAGE((agree || (!reason.empty() && verdicts[i] != kNoSchema)), "writer ", writer.dump(),
                    "\nreader ", reader.dump(), "\nlibavro: ", static_cast<int>(verdicts[i]),
                    "\nhere: ", found.empty() ? "reads" : found[0].path + " " + found[0].what);
    }
  }
  for (const auto& [what, times] : counts) std::cout << what << ": " << times << "\n";
  CHECK(counts["libavro reads, as we do"] > pairs / 10);
  CHECK(counts["libavro refuses, as we do"] > pairs / 10);
}

}  // namespace
}  // namespace peatbend::compat
