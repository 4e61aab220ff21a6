// A fleet of real routers that keep rations together, with clients at each; files and processes end with it.
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
#include "rations/crowd.h"
#include "rations/quota_table.h"

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

inline std::string BookOf(const std::string& statements) {
  return "book reads 1\nration all {\n  counts everything;\n  " + statements + "\n}\n";
}
inline std::string BookOf(const TokenRate& pace, const std::string& more = "hard;") {
  return BookOf(fmt::format("rate {} a second; burst {}; {}", pace.per_second, pace.burst, more));
}

inline const TokenRate kEven{100, 20};  // of most books here

class Rig {
 public:
  // `book` empty: rations are off. `seats`: the first so many routers. `starts`: the routers that run at
  // once. `more`: of a router's own file, from within [rations] on.
  Rig(std::size_t size, const std::string& book, std::size_t seats, std::size_t starts, int clients = 4,
      const std::function<std::string(std::size_t)>& more = {})
      : folder_(
            (std::filesystem::temp_directory_path() / fmt::format("peatbend-rations-{}", getpid())).string()),
        fleet_((std::filesystem::remove_all(folder_), PEATBEND_ROUTER), folder_, size, 1) {
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < size; ++i) addresses.push_back(fleet_.process(i).address());
    crowd_ = std::make_unique<Crowd>(addresses, clients);
    std::string seated;
    for (std::size_t i = 0; i < seats; ++i) seated += fmt::format("{}\"r{}/a\"", i > 0 ? ", " : "", i);
    for (std::size_t i = 0; i < size; ++i) {
      admins_.push_back(fleet_.Admin(i));
      fleet_.process(i).Write(fmt::format(kSettings, crowd_->member_port(), size));
      if (book.empty()) continue;
      WriteBook(i, book);
      std::ofstream(Toml(i), std::ios::app)
          << fmt::format("[rations]\nbook = \"{}\"\nseats = [{}]\n", Book(i), seated)
          << (more ? more(i) : "");
    }
    for (std::size_t i = 0; i < starts; ++i) fleet_.Start(i);
    REQUIRE_MESSAGE(fleet_.Agree(10s), fleet_.Difference());
  }
  Rig(std::size_t size, const std::string& book) : Rig(size, book, std::min<std::size_t>(size, 5), size) {}
  ~Rig() {
    CHECK(fleet_.Crashed().empty());
    CHECK(crowd_->odd() == 0);
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  processes::PeerFleet& fleet() { return fleet_; }
  Crowd& crowd() { return *crowd_; }
  // Parts of one, two and two, of five routers; or whole again.
  void SplitInThree(bool cut) {
    fleet_.Split({0}, {1, 3, 2, 4}, cut);
    fleet_.Split({1, 3}, {2, 4}, cut);
  }
  std::string Toml(std::size_t node) { return fleet_.process(node).folder() + "/router.toml"; }
  const std::string& Admin(std::size_t node) const { return admins_[node]; }
  std::string Book(std::size_t node) { return fleet_.process(node).folder() + "/book"; }
  void WriteBook(std::size_t node, const std::string& text) { std::ofstream(Book(node)) << text; }
  std::string Log(std::size_t node) {
    std::ifstream file(fleet_.process(node).folder() + "/log.txt");
    return {std::istreambuf_iterator<char>(file), {}};
  }
  std::map<std::string, std::uint64_t> Figures(std::size_t node) { return FiguresAt(admins_[node]); }
  static std::map<std::string, std::uint64_t> FiguresAt(const std::string& admin) {
    return processes::AskFigures(admin);
  }
  // Another process on the same address, beside the running one until that has been told to end; that one.
  // Operators ask it at an address of its own.
  pid_t Follow(std::size_t node) {
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
  // The router that keeps most shards of those that are asked; by its own word.
  std::size_t Keeper() {
    std::size_t best = 0;
    std::uint64_t most = 0;
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      std::uint64_t grants = fleet_.up(i) ? Figures(i)["rations.grants"] : 0;
      if (grants > most) best = i, most = grants;
    }
    return best;
  }
  static void Pause(Clock::duration span) { std::this_thread::sleep_for(span); }
  // Until `holds`, for `within` at the most; whether it did.
  template <typename F>
  static bool Until(F holds, Clock::duration within) {
    for (auto until = Clock::now() + within; !holds();) {
      if (Clock::now() > until) return false;
      std::this_thread::sleep_for(5ms);
    }
    return true;
  }
  // Lets go of so many more admissions; whether they came.
  bool Flows(std::size_t count, Clock::duration within) {
    auto from = Clock::now();
    return Until([&] { return crowd_->Admitted(from) >= count; }, within);
  }
  // What was asked since `from` and admitted, against what is promised for so many processes. A promise is of
  // one book: a stretch in which books change has the bounds of both.
  void CheckBound(const TokenRate& pace, std::size_t processes, Clock::time_point from = {}) {
    CheckBound(
        pace, [=](Clock::time_point, Clock::time_point) { return processes; }, from);
  }
  // From the start of a process until the end of the one that it replaces.
  struct Upgrade {
    Clock::time_point begun, ended;
  };
  // The same where processes were replaced: a stretch of time that meets an upgrade has one process more.
  void CheckBound(const TokenRate& pace, std::size_t routers, const std::vector<Upgrade>& upgrades) {
    auto within = [&](Clock::time_point from, Clock::time_point to) {
      auto met = std::ranges::count_if(
          upgrades, [&](const Upgrade& one) { return one.begun < to && from < one.ended; });
      return routers + static_cast<std::size_t>(met);
    };
    CheckBound(pace, within, {});
  }

 private:
  // `processes`: how many there were in a stretch of time.
  void CheckBound(const TokenRate& pace,
                  const std::function<std::size_t(Clock::time_point, Clock::time_point)>& processes,
                  Clock::time_point since) {
    auto all = crowd_->Admissions();
    std::erase_if(all, [&](const Admission& one) { return one.sent < since; });
    CHECK(all.size() > 20);
    auto ahead = [&](Clock::time_point from, Clock::time_point to) {
      return static_cast<double>(processes(from, to)) * CreditLimit(pace);
    };
    double above = MostAbove(all, pace.per_second, pace.burst, ahead);
    CHECK_MESSAGE(above <= kSlack, "by ", above, " at the worst, of ", all.size(), " admissions");
  }

  // Two clocks of one machine, and fractions of a token.
  static constexpr double kSlack = 1;
  std::string folder_;
  processes::PeerFleet fleet_;
  std::unique_ptr<Crowd> crowd_;
  std::vector<std::string> admins_;
};

}  // namespace peatbend::rations::test
