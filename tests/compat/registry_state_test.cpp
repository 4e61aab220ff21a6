// Which versions are accepted, which readers count, and that replicas agree.
#include "compat/registry_state.h"

#include <doctest/doctest.h>

#include "compat/records.h"
#include "world/random.h"

namespace peatbend::compat {
namespace {

std::string Text(const UpdateResult& result) {
  std::string all;
  for (const Incompatibility& each : result.incompatibilities) all += (all.empty() ? "" : "\n") + each.Text();
  return all;
}

RegistryState WithTwo(Policy policy = {}) {
  RegistryState it;
  CHECK(it.Declare("s", policy).ok());
  CHECK(it.Propose("s", 1, kOld).ok());
  CHECK(it.Propose("s", 2, kNew).ok());
  return it;
}

TEST_CASE("a rejection names subject, path, rule and each reader that would break") {
  RegistryState it = WithTwo();
  CHECK(it.RegisterReader("s", "ann", 1, {1}).ok());
  CHECK(it.RegisterReader("s", "bob", 1, {1, 2}).ok());
  CHECK(it.RegisterReader("s", "cy", 1, {2}).ok());
  CHECK(Text(it.Propose("s", 3, kWithout)) ==
        "s $.a: default: the writer has no a, and it has no default, with version 1, read by ann, bob");
  CHECK(Text(it.Propose("s", 2, kWithout)).starts_with("s: version: another has been accepted"));
  CHECK(Text(it.Propose("s", 4, kNew)).starts_with("s: version: the next is 3"));
  CHECK(Text(it.Propose("s", 3, "{}")) == "s $: schema: no type");
  CHECK(Text(it.Propose("t", 1, kOld)) == "t: subject: has not been declared");
  CHECK(it.Propose("s", 2, kNew).ok());  // repeated
  CHECK(it.subjects().at("s").versions.size() == 2);
}

TEST_CASE("a silent reader is not retired") {
  RegistryState it = WithTwo();
  CHECK(it.RegisterReader("s", "ann", 1, {1}).ok());
  CHECK(it.MarkSilent("s", "ann", 1).ok());
  CHECK(it.subjects().at("s").readers.at("ann").status == ReaderStatus::kSilent);
  CHECK_FALSE(it.Propose("s", 3, kWithout).ok());
  CHECK(Text(it.Retire("s", "ann", 1, "", "gone")).starts_with("s: reader: the operator"));
  CHECK(it.Retire("s", "ann", 1, "eve", "switched off").ok());
  CHECK(it.Propose("s", 3, kWithout).ok());
  // A repeated registration is void, and a new one is checked as any other's.
  CHECK(Text(it.RegisterReader("s", "ann", 1, {1})) == "s: reader: retired by eve");
  CHECK(Text(it.RegisterReader("s", "ann", 2, {1})).starts_with("s $.a: default: "));
  CHECK(it.RegisterReader("s", "ann", 3, {2}).ok());
  // A repeated retirement of the former registration is void too.
  CHECK(Text(it.Retire("s", "ann", 1, "eve", "switched off")) == "s: statement: has another registration");
  CHECK(it.subjects().at("s").readers.at("ann").status == ReaderStatus::kActive);
}

TEST_CASE("an old registration that arrives late changes nothing") {
  RegistryState it = WithTwo();
  CHECK(it.RegisterReader("s", "ann", 7, {1}).ok());
  CHECK(it.RegisterReader("s", "ann", 7, {1}).ok());
  CHECK(it.RegisterReader("s", "ann", 8, {2}).ok());
  CHECK_FALSE(it.RegisterReader("s", "ann", 7, {1}).ok());
  CHECK(it.subjects().at("s").ReadersOf(2) == std::vector<std::string>{"ann"});
  CHECK(Text(it.RegisterReader("s", "ann", 9, {3})) ==
        "s: version: has not been accepted, with version 3, read by ann");
}

TEST_CASE("compatibility modes, against the last version or those in use") {
  // kWithout cannot be read with kOld, and reads all versions.
  for (const auto& [mode, checked_against, third] :
       std::vector<std::tuple<CompatibilityMode, CheckedAgainst, bool>>{
           {CompatibilityMode::kForward, CheckedAgainst::kLast, true},
           {CompatibilityMode::kForward, CheckedAgainst::kInUse, false},
           {CompatibilityMode::kBackward, CheckedAgainst::kInUse, true},
           {CompatibilityMode::kFull, CheckedAgainst::kLast, true},
           {CompatibilityMode::kFull, CheckedAgainst::kInUse, false}}) {
    RegistryState it = WithTwo({VersionKind::kSchemas, mode, checked_against});
    CHECK(it.RegisterReader("s", "ann", 1, {1}).ok());
    CHECK(it.Propose("s", 3, kWithout).ok() == third);
    // Once data without `a` has been published, a reader without a default for it cannot register.
    bool allowed = !third || mode == CompatibilityMode::kBackward;
    CHECK(it.RegisterReader("s", "bob", 1, {1}).ok() == allowed);
  }
  RegistryState it = WithTwo({VersionKind::kSchemas, CompatibilityMode::kBackward, CheckedAgainst::kInUse});
  CHECK(Text(it.Propose("s", 3, Record(R"({"name":"c","type":"int"})"))).starts_with("s $.c: default: "));
}

TEST_CASE("language subjects") {
  RegistryState it;
  Policy languages{VersionKind::kLanguages, CompatibilityMode::kForward, CheckedAgainst::kLast};
  CHECK_FALSE(
      it.Declare("book", {VersionKind::kLanguages, CompatibilityMode::kFull, CheckedAgainst::kLast}).ok());
  CHECK(it.Declare("book", languages).ok());
  CHECK_FALSE(it.Declare("book", {}).ok());
  CHECK(it.Propose("book", 1, 1, 11).ok());
  CHECK(it.RegisterReader("book", "r1", 1, {1}).ok());
  CHECK(it.RegisterReader("book", "r2", 1, {1, 2}).ok());
  CHECK(Text(it.Propose("book", 2, 2, 12)) == "book: language: language 2 is not read, read by r1");
  CHECK(it.RegisterReader("book", "r1", 2, {1, 2}).ok());
  CHECK(it.Propose("book", 2, 2, 12).ok());
  CHECK_FALSE(it.Propose("book", 2, 2, 13).ok());  // other content in the same language
  CHECK(Text(it.RegisterReader("book", "r3", 1, {1})) ==
        "book: language: language 2 is not read, with version 2, read by r3");
}

TEST_CASE("the size is bounded, with a reserve for retirements") {
  RegistryState it(RegistryState::Bounds{.bytes = 800, .readers = 100});
  CHECK(it.Declare("s", {VersionKind::kLanguages, CompatibilityMode::kForward, CheckedAgainst::kLast}).ok());
  int registered = 0;
  while (it.RegisterReader("s", "reader " + std::to_string(registered), 1, {1}).ok()) ++registered;
  CHECK(registered > 10);
  CHECK(registered < 100);
  CHECK(Text(it.RegisterReader("s", "more", 1, {1})) ==
        "s: full: the registry would have more than 700 bytes");
  CHECK(it.Serialize().size() <= 700);
  CHECK(it.Retire("s", "reader 0", 1, "eve", "gone").ok());
}

// Random commands: a replica that is serialized and parsed at each step has the same bytes.
TEST_CASE("replicas agree, and serialized states are parsed as the same") {
  world::Random random(3, 9);
  std::size_t accepted = 0, rejected = 0;
  for (int run = 0; run < 40; ++run) {
    RegistryState one, other;
    for (int step = 0; step < 60; ++step) {
      std::string subject = random.Chance(0.5) ? "s" : "t", reader = "r" + std::to_string(random.Below(3));
      std::uint32_t kind = random.Below(6), number = 1 + random.Below(5), more = random.Below(4);
      auto command = [&](RegistryState& it) {
        if (kind == 0)
          return it.Declare(subject,
                            {subject == "s" ? VersionKind::kSchemas : VersionKind::kLanguages, {}, {}});
        if (kind == 1 && subject == "s")
          return it.Propose(subject, number, more < 2 ? kNew : more == 2 ? kOld : kWithout);
        if (kind == 1) return it.Propose(subject, number, more, more);
        if (kind == 2) return it.MarkSilent(subject, reader, number);
        if (kind == 3) return it.Retire(subject, reader, number, "eve", "gone");
        return it.RegisterReader(subject, reader, number, {1 + more, 1});
      };
      UpdateResult result = command(one);
      auto copy = RegistryState::Parse(other.Serialize());
      REQUIRE(copy);
      CHECK(Text(command(*copy)) == Text(result));
      other = *copy;
      CHECK(one.Serialize() == other.Serialize());
      ++(result.ok() ? accepted : rejected);
    }
    std::string bytes = one.Serialize();
    for (std::size_t i = 0; i < bytes.size(); i += 1 + random.Below(9)) {
      CHECK_FALSE(RegistryState::Parse(bytes.substr(0, i == 0 ? 1 : i)));
      std::string corrupted = bytes;
      corrupted[i] = static_cast<char>(random.Below(256));
      if (auto read = RegistryState::Parse(corrupted)) CHECK(read->Serialize() == corrupted);
    }
  }
  CHECK(accepted > 200);
  CHECK(rejected > 200);
}

}  // namespace
}  // namespace peatbend::compat
