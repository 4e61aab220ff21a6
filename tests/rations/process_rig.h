// A fleet of router processes that share quotas, with clients at each. Its files are removed and its
// processes ended on destruction.
#pragma once

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "processes/peer_fleet.h"
#include "rations/quota_table.h"
#include "rations/test_clients.h"

namespace peatbend::rations::test {

constexpr const char* kSettings = R"({{
  "known":{{"index":1,"snapshot":true,"endpoints":[
    {{"name":"box-1","address":"127.0.0.1:{0}","zone":"a","type":"box","status":"SERVING"}},
    {{"name":"origin","address":"127.0.0.1:{0}","zone":"a","type":"origin","status":"SERVING"}}]}},
  "settings":{{
    "classes":[{{"name":"read","objective":600000000,"deadline":2000000000,"effect":"read_like"}}],
    "tenants":[{{"name":"acme","share":1}}],"zones":["a"],"flavors":["box","origin"],
    "discovery":"subscribe","specifics":{{"mode":"aside","originKind":1}},"replicasOfMe":{1},
    "ceilings":{{"tryLimit":5,"mayCancel":true,"retryAfter":true,"maxRetryAfter":2000000000,
                 "dialTimeout":250000000,"keepalive":100000000000,"secondCopies":false}},
    "rules":{{"graceToAnswer":20000000,"askEvery":10000000000,"startCapacity":1.0,"warmAfter":24000000000,
              "drainGrace":250000000,"fallMultiple":3.0,"tipAfter":2000000000}},"tick":5000000}}}})";

inline std::string ConfigWith(const std::string& statements) {
  return "book reads 1\nration all {\n  counts everything;\n  " + statements + "\n}\n";
}
inline std::string ConfigWith(const TokenRate& pace, const std::string& more = "hard;") {
  return ConfigWith(fmt::format("rate {} a second; burst {}; {}", pace.per_second, pace.burst, more));
}

inline const TokenRate kDefaultPace{100, 20};  // of most tests

class Rig {
 public:
  // `quotas`: the quota configuration; empty: quotas are off. `replicas`: how many of the first routers are
  // replicas. `starts`: how many routers are started at once. `more`: text that follows a router's own
  // [rations] section.
  Rig(std::size_t size, const std::string& quotas, std::size_t replicas, std::size_t starts, int clients = 4,
      const std::function<std::string(std::size_t)>& more = {})
      : folder_(
            (std::filesystem::temp_directory_path() / fmt::format("peatbend-rations-{}", getpid())).string()),
        fleet_((std::filesystem::remove_all(folder_), PEATBEND_ROUTER), folder_, size, 1) {
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < size; ++i) addresses.push_back(fleet_.process(i).address());
    clients_ = std::make_unique<TestClients>(addresses, clients);
    std::string replica_list;
    for (std::size_t i = 0; i < replicas; ++i)
      replica_list += fmt::format("{}\"r{}/a\"", i > 0 ? ", " : "", i);
    for (std::size_t i = 0; i < size; ++i) {
      admins_.push_back(fleet_.Admin(i));
      fleet_.process(i).Write(fmt::format(kSettings, clients_->server_port(), size));
      if (quotas.empty()) continue;
      WriteQuotas(i, quotas);
      std::ofstream(Toml(i), std::ios::app)
          << fmt::format("[rations]\nbook = \"{}\"\nseats = [{}]\n", QuotasPath(i), replica_list)
          << (more ? more(i) : "");
    }
    for (std::size_t i = 0; i < starts; ++i) fleet_.Start(i);
    REQUIRE_MESSAGE(fleet_.Agree(10s), fleet_.Difference());
  }
  Rig(std::size_t size, const std::string& quotas)
      : Rig(size, quotas, std::min<std::size_t>(size, 5), size) {}
  ~Rig() {
    CHECK(fleet_.Crashed().empty());
    CHECK(clients_->unexpected() == 0);
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  processes::PeerFleet& fleet() { return fleet_; }
  TestClients& clients() { return *clients_; }
  // Partitions a fleet of five into one, two and two routers, or ends that.
  void SplitInThree(bool cut) {
    fleet_.Split({0}, {1, 3, 2, 4}, cut);
    fleet_.Split({1, 3}, {2, 4}, cut);
  }
  std::string Toml(std::size_t node) { return fleet_.process(node).folder() + "/router.toml"; }
  const std::string& Admin(std::size_t node) const { return admins_[node]; }
  std::string QuotasPath(std::size_t node) { return fleet_.process(node).folder() + "/book"; }
  void WriteQuotas(std::size_t node, const std::string& text) { std::ofstream(QuotasPath(node)) << text; }
  std::string Log(std::size_t node) {
    std::ifstream file(fleet_.process(node).folder() + "/log.txt");
    return {std::istreambuf_iterator<char>(file), {}};
  }
  std::map<std::string, std::uint64_t> Metrics(std::size_t node) { return MetricsAt(admins_[node]); }
  static std::map<std::string, std::uint64_t> MetricsAt(const std::string& admin) {
    return processes::AskFigures(admin);
  }
  // Starts a successor process on the router's address, with an admin address of its own. Returns the process
  // id of the predecessor, which keeps running until it is signalled.
  pid_t StartSuccessor(std::size_t node) {
    std::ifstream file(Toml(node));
    std::string text((std::istreambuf_iterator<char>(file)), {}), next = admins_[node];
    ++next.back();
    text.replace(text.find(admins_[node]), next.size(), next);
    std::ofstream(Toml(node)) << text;
    admins_[node] = next;
    pid_t old = fleet_.process(node).Retire();
    fleet_.Start(node);
    return old;
  }
  // The router that has sent the most grants, by its own metrics.
  std::size_t Owner() {
    std::size_t best = 0;
    std::uint64_t most = 0;
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      std::uint64_t grants = fleet_.up(i) ? Metrics(i)["rations.grants"] : 0;
      if (grants > most) best = i, most = grants;
    }
    return best;
  }
  static void Sleep(Clock::duration span) { std::this_thread::sleep_for(span); }
  // Waits until `holds`, for `within` at most; returns whether it did.
  template <typename F>
  static bool Until(F holds, Clock::duration within) {
    for (auto until = Clock::now() + within; !holds();) {
      if (Clock::now() > until) return false;
      std::this_thread::sleep_for(5ms);
    }
    return true;
  }
  // Waits for so many more admissions; returns whether they came.
  bool WaitForAdmissions(std::size_t count, Clock::duration within) {
    auto from = Clock::now();
    return Until([&] { return clients_->Admitted(from) >= count; }, within);
  }
  // Checks the requests sent since `from` and admitted against the bound for so many processes. The bound is
  // of one quota configuration: for a period in which it changes, the bounds of both add up.
  void CheckBound(const TokenRate& pace, std::size_t processes, Clock::time_point from = {}) {
    CheckBound(
        pace, [=](Clock::time_point, Clock::time_point) { return processes; }, from);
  }
  // From the start of a successor until the end of its predecessor.
  struct Upgrade {
    Clock::time_point started, ended;
  };
  // The same with upgrades: in a period that overlaps an upgrade there is one process more.
  void CheckBound(const TokenRate& pace, std::size_t routers, const std::vector<Upgrade>& upgrades) {
    auto processes = [&](Clock::time_point from, Clock::time_point to) {
      auto overlapping = std::ranges::count_if(
          upgrades, [&](const Upgrade& one) { return one.started < to && from < one.ended; });
      return routers + static_cast<std::size_t>(overlapping);
    };
    CheckBound(pace, processes, {});
  }

 private:
  // `processes`: returns how many there were in a period.
  void CheckBound(const TokenRate& pace,
                  const std::function<std::size_t(Clock::time_point, Clock::time_point)>& processes,
                  Clock::time_point since) {
    auto all = clients_->Admissions();
    std::erase_if(all, [&](const Admission& one) { return one.sent < since; });
    CHECK(all.size() > 20);
    auto credit = [&](Clock::time_point from, Clock::time_point to) {
      return static_cast<double>(processes(from, to)) * CreditLimit(pace);
    };
    double excess = MaxExcess(all, pace.per_second, pace.burst, credit);
    CHECK_MESSAGE(excess <= kToleranceTokens, "largest excess ", excess, " of ", all.size(), " admissions");
  }

  // For differences between two clocks of one machine, and fractions of a token.
  static constexpr double kToleranceTokens = 1;
  std::string folder_;
  processes::PeerFleet fleet_;
  std::unique_ptr<TestClients> clients_;
  std::vector<std::string> admins_;
};

}  // namespace peatbend::rations::test
