// Which requests are covered by a subject, and which of them the known registry state allows.
#include "compat/schema_check.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstdlib>

#include "compat/records.h"

namespace peatbend::compat {
namespace {

using namespace std::chrono_literals;
using CheckResult = SchemaCheck::CheckResult;

SubjectConfig Audience() {
  SubjectConfig of;
  of.subject = "audience";
  of.classes = {1};
  of.tenants = {0, 2};
  of.version_fact = "v", of.reader_fact = "by", of.reader_version_fact = "with";
  of.schemas = {kOld, kNew};
  return of;
}

RegistryState PublishedState() {
  RegistryState it;
  CHECK(MakeProposal(Audience())(it).ok());
  return it;
}

TEST_CASE("a subject covers its classes and tenants, and nothing else") {
  SubjectConfig templates = Audience();
  templates.subject = "template";
  templates.classes = {2, 0};
  templates.tenants = {};
  SchemaCheck check({Audience(), templates}, 4, 3);
  const int expected[4][4] = {{1, 1, 1, 1}, {-1, 0, -1, 0}, {1, 1, 1, 1}, {-1, -1, -1, -1}};
  for (int cls = 0; cls < 4; ++cls)
    for (int tenant = -1; tenant < 3; ++tenant)
      CHECK(check.SubjectOf(cls, tenant) == expected[cls][tenant + 1]);
}

TEST_CASE("a write is allowed with an accepted version only") {
  SchemaCheck check({Audience()}, 2, 3);
  CHECK(check.CheckWrite(0, "1").result == CheckResult::kUnknownSubject);
  check.UpdateKnown(RegistryState());
  CHECK(check.CheckWrite(0, "1").result == CheckResult::kUnknownSubject);
  check.UpdateKnown(PublishedState());
  for (const char* version : {"1", "2"}) CHECK(check.CheckWrite(0, version).result == CheckResult::kAllowed);
  for (const char* version : {"3", "4294967295"})
    CHECK(check.CheckWrite(0, version).result == CheckResult::kNotAccepted);
  for (const char* version : {"", "0", "-1", "+1", "1 ", "x", "4294967296", "99999999999999999999"})
    CHECK(check.CheckWrite(0, version).result == CheckResult::kNoVersion);
}

TEST_CASE("a read is allowed once its reader is registered; one without a reader as the settings say") {
  SubjectConfig strict = Audience();
  strict.subject = "strict";
  strict.allow_unnamed_readers = false;
  SchemaCheck check({Audience(), strict}, 2, 3);
  CHECK(check.CheckRead(0s, 0, "", "", "").result == CheckResult::kAllowed);
  CHECK(check.CheckRead(0s, 1, "", "", "").result == CheckResult::kUnnamedReader);
  CHECK(check.CheckRead(0s, 0, "ann", "1", "").result == CheckResult::kUnknownSubject);
  RegistryState registry = PublishedState();
  check.UpdateKnown(registry);
  CHECK(check.CheckRead(0s, 0, "ann", "", "").result == CheckResult::kNoVersion);
  CHECK(check.CheckRead(0s, 0, "ann", "1", "one").result == CheckResult::kNoVersion);
  CHECK(check.CheckRead(0s, 0, "ann", "1", "").result == CheckResult::kRegister);
  CHECK(check.CheckRead(1h, 0, "ann", "1", "").result == CheckResult::kRegistering);
  Registration ann{"ann", 1, {}};
  UpdateResult result = MakeRegistration("audience", ann)(registry);
  check.UpdateKnown(registry);
  check.OnRegistered(0s, 0, ann, result);
  CHECK(check.CheckRead(0s, 0, "ann", "1", "").result == CheckResult::kAllowed);
  CHECK(check.pending_registrations() == 0);
  CHECK(check.readers(0) == 1);
  // Another version of the same reader counts in addition to the first.
  CHECK(check.CheckRead(0s, 0, "ann", "2", "").result == CheckResult::kRegister);
  CHECK(MakeRegistration("audience", {"ann", 2, {}})(registry).ok());
  CHECK(registry.subjects().at("audience").readers.at("ann").versions == std::set<std::uint32_t>{1, 2});
  std::string before = registry.Serialize();
  CHECK(MakeRegistration("audience", {"ann", 1, {}})(registry).ok());
  CHECK(MakeRegistration("audience", {"ann", 2, {}})(registry).ok());
  CHECK(registry.Serialize() == before);
}

TEST_CASE("a numbered registration replaces the reader's last, and a late one is void") {
  RegistryState it = PublishedState();
  SubjectConfig of = Audience();
  of.registration_fact = "said";
  SchemaCheck check({of}, 2, 3);
  check.UpdateKnown(it);
  CHECK(check.CheckRead(0s, 0, "ann", "1", "").result == CheckResult::kNoVersion);
  CHECK(check.CheckRead(0s, 0, "ann", "1", "7").result == CheckResult::kRegister);
  CHECK(MakeRegistration("audience", {"ann", 1, 7})(it).ok());
  CHECK(MakeRegistration("audience", {"ann", 2, 8})(it).ok());
  CHECK(it.subjects().at("audience").readers.at("ann").versions == std::set<std::uint32_t>{2});
  CHECK(MakeRegistration("audience", {"ann", 1, 7})(it).incompatibilities.at(0).rule == "statement");
  CHECK(it.Propose("audience", 3, kWithout).ok());  // nobody reads with 1
}

TEST_CASE(
    "a version that breaks a reader is rejected, as is such a reader, and not evaluated again at once") {
  RegistryState it = PublishedState();
  CHECK(it.Propose("audience", 3, kWithout).ok());
  SchemaCheck check({Audience()}, 2, 3);
  check.UpdateKnown(it);
  auto first = check.CheckRead(0s, 0, "ann", "1", "");
  CHECK(first.result == CheckResult::kRejected);
  CHECK(first.reason.find("audience $.a") == 0);
  CHECK(first.reason.find("with version 3, read by ann") != std::string::npos);
  CHECK(check.CheckRead(1h, 0, "ann", "1", "").reason.empty());
  check.UpdateKnown(it);
  CHECK(check.CheckRead(999ms, 0, "ann", "1", "").reason.empty());
  CHECK_FALSE(check.CheckRead(1s, 0, "ann", "1", "").reason.empty());  // the state has changed
  // Rejected by the committed state, though not by the known one.
  CHECK(check.CheckRead(2s, 0, "bob", "3", "").result == CheckResult::kRegister);
  check.OnRegistered(2s, 0, {"bob", 3, {}}, {{{"audience", "", "full", "", 0, {}}}});
  CHECK(check.CheckRead(2s, 0, "bob", "3", "").result == CheckResult::kRejected);
  check.UpdateKnown(it);
  CHECK(check.CheckRead(3s, 0, "bob", "3", "").result == CheckResult::kRegister);
  CHECK(check.pending_registrations() == 1);
}

TEST_CASE("a retired reader registers again with what it reads now") {
  RegistryState it = PublishedState();
  CHECK(MakeRegistration("audience", {"ann", 1, {}})(it).ok());
  CHECK(it.Retire("audience", "ann", 1, "eve", "gone").ok());
  SchemaCheck check({Audience()}, 2, 3);
  check.UpdateKnown(it);
  CHECK(check.readers(0) == 0);
  CHECK(check.CheckRead(0s, 0, "ann", "2", "").result == CheckResult::kRegister);
  CHECK(MakeRegistration("audience", {"ann", 2, {}})(it).ok());
  const ReaderState& ann = it.subjects().at("audience").readers.at("ann");
  CHECK(ann.versions == std::set<std::uint32_t>{2});
  CHECK(ann.status == ReaderStatus::kActive);
}

TEST_CASE("a retirement applies to the named registration, and not to a later one") {
  SubjectConfig of = Audience();
  of.retirements = {{"ann", 1, "closed"}};
  of.schemas.push_back(kWithout);
  RegistryState it = PublishedState();
  CHECK(MakeProposal(of)(it).incompatibilities.at(0).what == "has never registered");
  CHECK(MakeRegistration("audience", {"ann", 1, {}})(it).ok());
  CHECK(MakeProposal(of)(it).ok());
  CHECK(it.subjects().at("audience").versions.size() == 3);
  CHECK(MakeRegistration("audience", {"ann", 2, {}})(it).ok());
  CHECK(MakeProposal(of)(it).ok());
  CHECK(it.subjects().at("audience").readers.at("ann").status == ReaderStatus::kActive);
}

TEST_CASE("unregistered readers are bounded, however many names there are") {
  RegistryState it = PublishedState();
  SchemaCheck check({Audience()}, 2, 3);
  check.UpdateKnown(it);
  std::map<CheckResult, int> results;
  for (int i = 0; i < 20000; ++i) {
    std::string name = "r" + std::to_string(i);
    ++results[check.CheckRead(i * 100ms, 0, name, i % 2 == 0 ? "1" : "9", "").result];
    CHECK(check.pending_registrations() <= 32);
    CHECK(check.rejected_registrations() <= 1024);
  }
  CHECK(results[CheckResult::kRegister] == 32);
  CHECK(results[CheckResult::kBusy] > 15000);
  CHECK(check.CheckRead(1h, 0, std::string(129, 'x'), "1", "").result == CheckResult::kRejected);
  SchemaCheck fast({Audience()}, 2, 3);
  fast.UpdateKnown(it);
  results.clear();
  for (int i = 0; i < 100; ++i)
    ++results[fast.CheckRead(1ms * i, 0, "r" + std::to_string(i), "9", "").result];
  CHECK(results[CheckResult::kRejected] == 20);
  CHECK(results[CheckResult::kBusy] == 80);
}

TEST_CASE("a proposal stops at the first version that is rejected") {
  SubjectConfig of = Audience();
  of.schemas = {kOld, kNew, kWithout, kNew};
  RegistryState it = PublishedState();
  CHECK(FirstNotAccepted(of, it) == 3);
  CHECK(FirstNotAccepted(of, RegistryState()) == 1);
  CHECK(MakeRegistration("audience", {"ann", 1, {}})(it).ok());
  UpdateResult result = MakeProposal(of)(it);
  REQUIRE(result.incompatibilities.size() == 1);
  CHECK(result.incompatibilities[0].readers == std::vector<std::string>{"ann"});
  CHECK(it.subjects().at("audience").versions.size() == 2);
  std::string before = it.Serialize();
  CHECK_FALSE(MakeProposal(of)(it).ok());
  CHECK(it.Serialize() == before);
  of.schemas = {kNew, kOld};
  of.first_version = 2;
  CHECK(FirstNotAccepted(of, it) == 3);
  of.schemas = {kOld};
  CHECK(FirstNotAccepted(of, it) == 2);  // another was accepted under that number
}

// By hand: PEATBEND_LONG=5000000 peatbend_compat_tests -tc='*what an answer costs*' -s
TEST_CASE("what an answer costs" * doctest::skip(std::getenv("PEATBEND_LONG") == nullptr)) {
  RegistryState it = PublishedState();
  for (int i = 0; i < 900; ++i)
    CHECK(MakeRegistration("audience", {"shop-" + std::to_string(i), 1, {}})(it).ok());
  SchemaCheck check({Audience()}, 2, 3);
  check.UpdateKnown(it);
  int rounds = std::atoi(std::getenv("PEATBEND_LONG")), allowed = 0;
  auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < rounds; ++i)
    allowed +=
        check.CheckRead(0s, check.SubjectOf(1, 2), "shop-517", "1", "").result == CheckResult::kAllowed;
  auto read = std::chrono::steady_clock::now();
  for (int i = 0; i < rounds; ++i)
    allowed += check.CheckWrite(check.SubjectOf(1, 0), "2").result == CheckResult::kAllowed;
  auto write = std::chrono::steady_clock::now();
  CHECK(allowed == 2 * rounds);
  MESSAGE("a read ", std::chrono::duration<double, std::nano>(read - begin).count() / rounds, " ns, a write ",
          std::chrono::duration<double, std::nano>(write - read).count() / rounds, " ns");
}

}  // namespace
}  // namespace peatbend::compat
