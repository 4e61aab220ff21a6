// Updates of the registry state in its replicated record, with unreachable and restarted replicas.
#include "compat/registry_update.h"

#include <doctest/doctest.h>

namespace peatbend::compat {
namespace {

using failover::kReplicas;

struct Fleet {
  Fleet() {
    for (std::size_t s = 0; s < kReplicas; ++s) replicas.push_back(MakeReplica(s, 1, true));
  }
  static failover::RecordReplica MakeReplica(std::size_t s, std::uint64_t generation, bool bootstrapped) {
    auto name = [](std::size_t replica) { return "s" + std::to_string(replica); };
    return MakeRegistryReplica({}, bootstrapped, name(s), generation, [name](const std::string&) {
      return std::array<std::string, kReplicas>{name(0), name(1), name(2)};
    });
  }
  // Runs the update with the reachable replicas; at most two ballots, the second above the rounds seen by the
  // first.
  RegistryUpdate::Progress Submit(RegistryUpdate& update, std::vector<bool> reachable) {
    auto last = RegistryUpdate::Progress::kConflict;
    for (int ballot = 0; ballot < 2 && last == RegistryUpdate::Progress::kConflict; ++ballot) {
      std::vector<failover::RecordProposer::Outgoing> out;
      update.Start({}, out);
      last = RegistryUpdate::Progress::kPending;
      for (std::size_t i = 0; i < out.size(); ++i) {
        if (!reachable[out[i].replica]) continue;
        auto request = out[i];
        auto progress =
            update.Handle({}, request.replica, replicas[request.replica].Handle({}, request.message), out);
        if (progress != RegistryUpdate::Progress::kPending) last = progress;
      }
    }
    return last;
  }
  RegistryUpdate By(const std::string& who, RegistryUpdate::Command command) {
    return RegistryUpdate("w", {who, 1, ++proposal}, command);
  }
  std::vector<failover::RecordReplica> replicas;
  std::uint64_t proposal = 0;
};

UpdateResult Declare(RegistryState& it) { return it.Declare("s", {}); }
RegistryUpdate::Command First(const std::string& schema) {
  return [schema](RegistryState& it) { return it.Propose("s", 1, schema); };
}

TEST_CASE("in a partition one side publishes, and the other learns of it") {
  Fleet fleet;
  RegistryUpdate declared = fleet.By("eve", Declare), one = fleet.By("a", First(R"("int")")),
                 other = fleet.By("b", First(R"("long")"));
  CHECK(fleet.Submit(declared, {true, true, true}) == RegistryUpdate::Progress::kCommitted);
  CHECK(fleet.Submit(one, {true, true, false}) == RegistryUpdate::Progress::kCommitted);
  CHECK(one.result().ok());
  CHECK(fleet.Submit(other, {false, false, true}) ==
        RegistryUpdate::Progress::kPending);  // no result is reported
  CHECK(fleet.Submit(other, {false, true, true}) == RegistryUpdate::Progress::kCommitted);
  REQUIRE(other.result().incompatibilities.size() == 1);
  CHECK(other.result().incompatibilities[0].rule == "version");
  CHECK(other.state()->subjects().at("s").versions[0].schema == R"("int")");
}

TEST_CASE("a restarted replica votes after both syncs, and the record never expires") {
  Fleet fleet;
  RegistryUpdate declared = fleet.By("eve", Declare), one = fleet.By("a", First(R"("int")")),
                 other = fleet.By("b", Declare);
  fleet.Submit(declared, {true, true, true});
  CHECK(fleet.Submit(one, {true, true, false}) == RegistryUpdate::Progress::kCommitted);
  fleet.replicas[0] = Fleet::MakeReplica(0, 2, false);
  CHECK(fleet.Submit(other, {true, false, true}) == RegistryUpdate::Progress::kPending);
  failover::Message request = fleet.replicas[0].RequestSync({});
  for (std::size_t s : {1, 2})
    for (const auto& part : fleet.replicas[s].AnswerSync({}, request))
      fleet.replicas[0].HandleSync({}, "s" + std::to_string(s), part);
  for (auto& replica : fleet.replicas) replica.DropExpired(std::chrono::hours(24 * 365));
  RegistryUpdate third = fleet.By("c", First(R"("long")"));
  CHECK(fleet.Submit(third, {true, false, true}) == RegistryUpdate::Progress::kCommitted);
  CHECK_FALSE(third.result().ok());
}

TEST_CASE("a registry state of a later format is left unchanged") {
  Fleet fleet;
  failover::Message later;
  later.kind = failover::Kind::kAccept;
  later.operation = "w";
  later.ballot = {1, {"later", 1, 1}};
  later.version = 1;
  later.state.value = "\x92\x02\x90";
  for (auto& replica : fleet.replicas) replica.Handle({}, later);
  RegistryUpdate one = fleet.By("z", Declare);
  CHECK(fleet.Submit(one, {true, true, true}) == RegistryUpdate::Progress::kCommitted);
  CHECK(one.result().incompatibilities.at(0).rule == "form");
  CHECK_FALSE(one.state());
  for (const auto& replica : fleet.replicas) CHECK(replica.stored().at("w").state.value == later.state.value);
}

}  // namespace
}  // namespace peatbend::compat
