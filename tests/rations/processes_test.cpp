// Router processes that share quotas, with faults of the links and the processes. Admitted requests are
// counted by the clients.
#include <sys/wait.h>

#include <csignal>
#include <cstdlib>

#include "rations/process_rig.h"

namespace peatbend::rations::test {
namespace {

const TokenRate kBurstPace{20, 60};

// Lets the bucket of kBurstPace fill and uses half of the burst: an owner that then grants it anew exceeds
// the bound.
void UseHalfOfBurst(Rig& rig) {
  rig.clients().SetIntervals(100ms);  // starts an election
  REQUIRE(rig.WaitForAdmissions(10, 5s));
  rig.clients().SetIntervals(0ms);
  rig.Sleep(3500ms);
  auto from = Clock::now();
  rig.clients().SetIntervals(5ms);
  REQUIRE(rig.Until([&] { return rig.clients().Admitted(from) >= 30; }, 3s));
}

TEST_CASE("rations alone: demand at a single router gets the whole quota") {
  Rig rig(5, ConfigWith(kDefaultPace));
  rig.clients().SetInterval(4, 5ms);
  rig.Sleep(2s);
  auto from = Clock::now();
  rig.Sleep(3s);
  CHECK(rig.clients().Admitted(from) >= 0.95 * 3 * kDefaultPace.per_second);
  CHECK(rig.clients().rejected(4) > 300);
  rig.CheckBound(kDefaultPace, 5);
}

TEST_CASE("rations parts: two of five routers cut off with all demand admit no more than their credit") {
  Rig rig(5, ConfigWith(kDefaultPace), 3, 5);
  rig.clients().SetInterval(3, 5ms);
  rig.clients().SetInterval(4, 5ms);
  REQUIRE(rig.WaitForAdmissions(50, 5s));
  rig.fleet().Split({3, 4}, {0, 1, 2}, true);
  rig.Sleep(50ms);
  auto cut = Clock::now();
  rig.Sleep(2s);
  CHECK(rig.clients().Admitted(cut) <= 2 * CreditLimit(kDefaultPace));
  rig.fleet().Split({3, 4}, {0, 1, 2}, false);
  CHECK(rig.WaitForAdmissions(50, 2s));
  rig.Sleep(1s);
  rig.CheckBound(kDefaultPace, 5);
}

TEST_CASE("rations parts: in a partition into one, two and two there is no owner, until it ends") {
  Rig rig(5, ConfigWith(kDefaultPace), 3, 5);
  rig.clients().SetIntervals(10ms);
  REQUIRE(rig.WaitForAdmissions(50, 5s));
  rig.SplitInThree(true);
  rig.Sleep(50ms);
  auto cut = Clock::now();
  rig.Sleep(2s);
  CHECK(rig.clients().Admitted(cut) <= 5 * CreditLimit(kDefaultPace));
  rig.SplitInThree(false);
  CHECK(rig.WaitForAdmissions(50, 2s));
  rig.Sleep(1s);
  rig.CheckBound(kDefaultPace, 5);
}

TEST_CASE("rations stands: a router that resumes after a stall uses no more than its credit") {
  Rig rig(5, ConfigWith(kDefaultPace), 3, 5, 12);
  rig.fleet().Stall(4, true);
  for (std::size_t i = 0; i < 4; ++i) rig.clients().SetInterval(i, 20ms);
  REQUIRE(rig.WaitForAdmissions(200, 6s));
  if (std::getenv("PEATBEND_LONG") != nullptr) rig.Sleep(60s);
  auto resumed = Clock::now();
  rig.clients().SetInterval(4, 20ms);
  rig.fleet().Stall(4, false);
  CHECK(rig.Until([&] { return rig.clients().Admitted(resumed, 4) > 0; }, 3s));
  rig.Sleep(1s);
  rig.CheckBound(kDefaultPace, 5);
}

void KillAndRestart(std::size_t size, std::size_t killed) {
  Rig rig(size, ConfigWith(kBurstPace));
  UseHalfOfBurst(rig);
  for (std::size_t i = 0; i < killed; ++i) rig.fleet().Kill(i);
  for (std::size_t i = 0; i < killed; ++i) rig.fleet().Start(i);
  CHECK(rig.WaitForAdmissions(10, 3s));
  rig.Sleep(2s);
  rig.CheckBound(kBurstPace, size + killed);  // processes, including those killed
}

TEST_CASE("rations kill: four of five killed and restarted without state grant nothing twice") {
  KillAndRestart(5, 4);
}
TEST_CASE("rations kill: seven of ten killed and restarted without state grant nothing twice") {
  KillAndRestart(10, 7);
}

TEST_CASE("rations keeper: replicas and owner killed and restarted without state") {
  Rig rig(5, ConfigWith(kBurstPace), 3, 5);
  UseHalfOfBurst(rig);
  for (std::size_t i : {rig.Owner(), std::size_t{0}, std::size_t{1}, std::size_t{2}, rig.Owner()}) {
    rig.fleet().Kill(i);
    rig.fleet().Start(i);
    CHECK(rig.WaitForAdmissions(5, 2s));
  }
  rig.CheckBound(kBurstPace, 5 + 5);
}

TEST_CASE("rations keeper: grants of an owner that was stalled for five seconds do not count") {
  Rig rig(5, ConfigWith(kDefaultPace), 3, 5);
  rig.clients().SetIntervals(10ms);
  REQUIRE(rig.WaitForAdmissions(100, 5s));
  std::size_t owner = rig.Owner();
  rig.fleet().Stall(owner, true);
  CHECK(rig.WaitForAdmissions(50, 2s));
  rig.Sleep(4s);
  rig.fleet().Stall(owner, false);
  CHECK(rig.WaitForAdmissions(50, 2s));
  for (auto stall : {130ms, 210ms, 340ms, 550ms}) {  // around the time after which a router is suspected
    owner = rig.Owner();
    rig.fleet().Stall(owner, true);
    rig.Sleep(stall);
    rig.fleet().Stall(owner, false);
    CHECK(rig.WaitForAdmissions(20, 2s));
  }
  rig.CheckBound(kDefaultPace, 5);
}

TEST_CASE("rations names: two processes of one name at once") {
  Rig rig(6, ConfigWith(kDefaultPace), 3, 5);
  rig.clients().SetIntervals(10ms);
  REQUIRE(rig.WaitForAdmissions(50, 5s));
  std::ifstream file(rig.Toml(5));
  std::string text((std::istreambuf_iterator<char>(file)), {});
  std::size_t name = text.find("name = \"r5\"");
  REQUIRE(name != std::string::npos);
  std::ofstream(rig.Toml(5)) << text.replace(name, 11, "name = \"r0\"");
  rig.fleet().Start(5);
  rig.Sleep(2s);
  CHECK(rig.clients().rejected(5) > 0);  // it is up
  CHECK(rig.WaitForAdmissions(100, 3s));
  rig.fleet().Kill(0);
  CHECK(rig.WaitForAdmissions(100, 3s));
  rig.fleet().Start(0);
  CHECK(rig.WaitForAdmissions(100, 3s));
  rig.CheckBound(kDefaultPace, 6);
}

TEST_CASE("rations links: a link between the owner and a requester that fails in one direction") {
  Rig rig(5, ConfigWith(kDefaultPace), 3, 5);
  rig.clients().SetInterval(3, 10ms);
  rig.clients().SetInterval(4, 10ms);
  REQUIRE(rig.WaitForAdmissions(100, 5s));
  for (bool to_owner : {true, false}) {
    std::size_t owner = rig.Owner(), from = to_owner ? 4 : owner, to = to_owner ? owner : 4;
    rig.fleet().links().Set(from, to, {.cut = true});
    CHECK(rig.WaitForAdmissions(50, 2s));
    rig.Sleep(1s);
    rig.fleet().links().Set(from, to, {});
    auto restored = Clock::now();
    CHECK(rig.Until([&] { return rig.clients().Admitted(restored, 4) >= 10; }, 2s));
  }
  rig.CheckBound(kDefaultPace, 5);
}

TEST_CASE("rations links: loss, duplicates and reordering on all links") {
  Rig rig(5, ConfigWith(kDefaultPace), 3, 5);
  rig.fleet().links().SetAll({.loss = 0.05, .duplicate = 0.05, .delay = 1ms, .spread = 8ms});
  rig.clients().SetIntervals(10ms);
  REQUIRE(rig.WaitForAdmissions(50, 5s));
  auto from = Clock::now();
  rig.Sleep(4s);
  CHECK(rig.clients().Admitted(from) >= 0.5 * 4 * kDefaultPace.per_second);
  CHECK(rig.fleet().links().counts().lost > 0);
  rig.CheckBound(kDefaultPace, 5);
}

TEST_CASE("rations book: a new configuration at one router, then at all; a faulty one is rejected") {
  const TokenRate lower{50, 10};
  Rig rig(5, ConfigWith(kDefaultPace), 3, 5);
  rig.clients().SetIntervals(10ms);
  REQUIRE(rig.WaitForAdmissions(50, 5s));
  std::uint64_t former = rig.Metrics(0)["rations.book"];
  CHECK(former != 0);
  auto reload = [&](std::size_t node, const std::string& quotas) {
    rig.WriteQuotas(node, quotas);
    rig.fleet().process(node).Signal(SIGHUP);
  };
  reload(0, ConfigWith(lower));
  CHECK(rig.Until([&] { return rig.Metrics(0)["rations.book"] != former; }, 2s));
  CHECK(rig.Metrics(1)["rations.book"] == former);
  rig.Sleep(1s);
  reload(1, "book reads 1\nration all { counts everything; rate 10 a second; burst 1; hart; }\n");
  std::string position = rig.QuotasPath(1) + ":2:";
  CHECK(rig.Until([&] { return rig.Log(1).find(position) != std::string::npos; }, 2s));
  CHECK(rig.Metrics(1)["rations.book"] == former);
  for (std::size_t i = 1; i < 5; ++i) reload(i, ConfigWith(lower));
  std::uint64_t now = rig.Metrics(0)["rations.book"];
  for (std::size_t i = 1; i < 5; ++i)
    CHECK(rig.Until([&] { return rig.Metrics(i)["rations.book"] == now; }, 2s));
  CHECK(rig.WaitForAdmissions(30, 2s));
  rig.CheckBound(kDefaultPace, 5);
  auto from = Clock::now();
  rig.Sleep(3s);
  std::size_t admitted = rig.clients().Admitted(from);
  CHECK(static_cast<double>(admitted) <= lower.burst + 3.1 * lower.per_second + 5 * CreditLimit(lower));
  CHECK(admitted >= 0.8 * 3 * lower.per_second);
}

TEST_CASE("rations upgrade: successors on the same addresses; the predecessors use their credit") {
  Rig rig(5, ConfigWith(kBurstPace), 3, 5);
  UseHalfOfBurst(rig);
  std::vector<Rig::Upgrade> upgrades;
  for (std::size_t i : {rig.Owner(), std::size_t{0}, std::size_t{1}, std::size_t{4}}) {
    auto started = Clock::now();
    pid_t old = rig.StartSuccessor(i);
    CHECK(rig.Until([&] { return rig.Log(i).find("a new process takes clients") != std::string::npos; }, 3s));
    CHECK(rig.WaitForAdmissions(5, 2s));
    kill(old, SIGTERM);
    int status = -1;
    waitpid(old, &status, 0);
    CHECK(status == 0);
    upgrades.push_back({started, Clock::now()});
  }
  rig.CheckBound(kBurstPace, 5, upgrades);
}

TEST_CASE("rations upgrade: the configuration read last stays in force when the successor is lost") {
  const TokenRate lower{50, 10};
  Rig rig(5, ConfigWith(kDefaultPace), 3, 5);
  std::uint64_t former = rig.Metrics(4)["rations.book"];
  for (std::size_t i = 0; i < 5; ++i) rig.WriteQuotas(i, ConfigWith(lower));
  for (std::size_t i = 0; i < 5; ++i) rig.fleet().process(i).Signal(SIGHUP);
  for (std::size_t i = 0; i < 5; ++i)
    REQUIRE(rig.Until([&] { return rig.Metrics(i)["rations.book"] != former; }, 2s));
  std::string admin = rig.Admin(4);
  pid_t old = rig.StartSuccessor(4);
  CHECK(rig.Until([&] { return rig.Log(4).find("a new process takes clients") != std::string::npos; }, 3s));
  rig.fleet().Kill(4);
  CHECK(rig.Until([&] { return rig.Log(4).find("the new process has ended") != std::string::npos; }, 3s));
  rig.clients().SetInterval(4, 10ms);
  CHECK(rig.WaitForAdmissions(50, 4s));
  CHECK(rig.Metrics(0)["rations.book"] == rig.MetricsAt(admin)["rations.book"]);
  kill(old, SIGKILL);
  waitpid(old, nullptr, 0);
}

TEST_CASE("rations book: a configuration for other settings than those in force waits for the next start") {
  Rig rig(3, "book reads 1\nration all { counts franchisee acme; rate 20 a second; burst 10; hard; }\n");
  rig.clients().SetInterval(2, 10ms);
  REQUIRE(rig.WaitForAdmissions(20, 5s));
  std::ifstream file(rig.fleet().process(2).folder() + "/config.json");
  std::string text((std::istreambuf_iterator<char>(file)), {}), acme = R"({"name":"acme","share":1})";
  rig.fleet().process(2).Write(text.replace(text.find(acme), acme.size(),
                                            R"({"name":"new","share":0.5},{"name":"acme","share":0.5})"));
  rig.fleet().process(2).Signal(SIGHUP);
  CHECK(rig.Until(
      [&] { return rig.Log(2).find("rations.book: holds from the next start") != std::string::npos; }, 2s));
  auto from = Clock::now();
  rig.Sleep(1s);
  CHECK(rig.clients().Admitted(from) <= 10 + 20 * 1.2 + 2);  // of 400 requests
  CHECK(rig.WaitForAdmissions(10, 2s));
}

// Cuts two routers with all demand off the replicas of a soft quota: in two seconds they admit `min` to `max`
// requests, and the quota applies again afterwards.
void CheckSoftQuota(const std::string& alone, double min, double max) {
  CAPTURE(alone);
  Rig rig(5, ConfigWith(kDefaultPace, "soft, alone " + alone + ";"), 3, 5);
  rig.clients().SetInterval(3, 10ms);
  rig.clients().SetInterval(4, 10ms);
  REQUIRE(rig.WaitForAdmissions(50, 5s));
  rig.fleet().Split({3, 4}, {0, 1, 2}, true);
  rig.Sleep(1s);
  auto from = Clock::now();
  rig.Sleep(2s);
  auto admitted = static_cast<double>(rig.clients().Admitted(from));
  CHECK(admitted >= min);
  CHECK(admitted <= max);
  rig.fleet().Split({3, 4}, {0, 1, 2}, false);
  CHECK(rig.WaitForAdmissions(50, 2s));
  rig.Sleep(500ms);
  from = Clock::now();
  rig.Sleep(2s);
  admitted = static_cast<double>(rig.clients().Admitted(from));
  CHECK(admitted >= 0.8 * 2 * kDefaultPace.per_second);
  CHECK(admitted <= kDefaultPace.burst + 2.1 * kDefaultPace.per_second + 5 * CreditLimit(kDefaultPace));
}

TEST_CASE("rations soft: soft quotas without their replicas reject") {
  CheckSoftQuota("reject", 0, 2 * CreditLimit(kDefaultPace));
}
TEST_CASE("rations soft: soft quotas without their replicas admit each router's own share") {
  double share = kDefaultPace.per_second / 5 * 2;  // in two seconds, at one router
  CheckSoftQuota("own share", 2 * 0.8 * share,
                 2 * (1.1 * share + kDefaultPace.burst / 5 + CreditLimit(kDefaultPace)));
}
TEST_CASE("rations soft: soft quotas without their replicas are open") {
  CheckSoftQuota("open", 4 * kDefaultPace.per_second, 1e9);
}

TEST_CASE("rations clients: a quota per client, used at all routers at once") {
  const TokenRate own{5, 3};
  Rig rig(5, "book reads 1\nration own { counts each shop; rate 5 a second; burst 3; hard; }\n");
  rig.clients().SetIntervals(20ms);
  rig.Sleep(4s);
  auto all = rig.clients().Admissions();
  for (int client = 0; client < 4; ++client) {
    std::vector<Admission> of_client;
    std::ranges::copy_if(all, std::back_inserter(of_client),
                         [&](const Admission& one) { return one.client == client; });
    CHECK(of_client.size() >= 0.7 * 4 * own.per_second);
    CHECK(MaxExcess(of_client, own.per_second, own.burst, 5 * CreditLimit(own)) <= 1);
  }
}

// The numbers of descriptors and threads of a router.
std::pair<std::size_t, std::size_t> ResourcesOf(Rig& rig, std::size_t node) {
  auto count = [&](const char* what) {
    auto at = std::filesystem::directory_iterator(
        fmt::format("/proc/{}/{}", rig.fleet().process(node).pid(), what));
    return static_cast<std::size_t>(std::distance(begin(at), end(at)));
  };
  return {count("fd"), count("task")};
}

TEST_CASE("rations off: uses no resources when off, and sends nothing without demand") {
  std::pair<std::size_t, std::size_t> without;
  {
    Rig rig(3, "");
    rig.Sleep(500ms);
    without = ResourcesOf(rig, 0);
    for (const auto& [name, value] : rig.Metrics(0))
      CHECK_FALSE((name.starts_with("rations") || name.starts_with("publications")));
    CHECK(rig.Log(0).find("rations") == std::string::npos);
  }
  Rig rig(3, ConfigWith(kDefaultPace));
  rig.Sleep(500ms);
  CHECK(ResourcesOf(rig, 0) == without);
  CHECK(rig.Metrics(0)["rations.sent"] == 0);
}

}  // namespace
}  // namespace peatbend::rations::test
