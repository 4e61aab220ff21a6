// Real processes of the program that keep rations together, with faults between and in them. What was
// admitted is counted by the clients.
#include <sys/wait.h>

#include <csignal>
#include <cstdlib>

#include "rations/process_rig.h"

namespace peatbend::rations::test {
namespace {

const TokenRate kSaved{20, 60};

// A saved burst of kSaved, half used: whoever gives it again gives too much.
void UseHalf(Rig& rig) {
  rig.crowd().LetAll(100ms);  // makes a keeper begin
  REQUIRE(rig.Flows(10, 5s));
  rig.crowd().LetAll(0ms);
  rig.Pause(3500ms);
  auto from = Clock::now();
  rig.crowd().LetAll(5ms);
  REQUIRE(rig.Until([&] { return rig.crowd().Admitted(from) >= 30; }, 3s));
}

TEST_CASE("rations alone: demand at one router alone gets the whole ration") {
  Rig rig(5, BookOf(kEven));
  rig.crowd().Let(4, 5ms);
  rig.Pause(2s);
  auto from = Clock::now();
  rig.Pause(3s);
  CHECK(rig.crowd().Admitted(from) >= 0.95 * 3 * kEven.per_second);
  CHECK(rig.crowd().rejected(4) > 300);
  rig.CheckBound(kEven, 5);
}

TEST_CASE("rations parts: cut off with two of five, all demand uses what is in hand and no more") {
  Rig rig(5, BookOf(kEven), 3, 5);
  rig.crowd().Let(3, 5ms);
  rig.crowd().Let(4, 5ms);
  REQUIRE(rig.Flows(50, 5s));
  rig.fleet().Split({3, 4}, {0, 1, 2}, true);
  rig.Pause(50ms);
  auto cut = Clock::now();
  rig.Pause(2s);
  CHECK(rig.crowd().Admitted(cut) <= 2 * CreditLimit(kEven));
  rig.fleet().Split({3, 4}, {0, 1, 2}, false);
  CHECK(rig.Flows(50, 2s));
  rig.Pause(1s);
  rig.CheckBound(kEven, 5);
}

TEST_CASE("rations parts: in parts of one, two and two nobody keeps, and it flows once mended") {
  Rig rig(5, BookOf(kEven), 3, 5);
  rig.crowd().LetAll(10ms);
  REQUIRE(rig.Flows(50, 5s));
  rig.SplitInThree(true);
  rig.Pause(50ms);
  auto cut = Clock::now();
  rig.Pause(2s);
  CHECK(rig.crowd().Admitted(cut) <= 5 * CreditLimit(kEven));
  rig.SplitInThree(false);
  CHECK(rig.Flows(50, 2s));
  rig.Pause(1s);
  rig.CheckBound(kEven, 5);
}

TEST_CASE("rations stands: one that stood still uses no more than it may owe when it wakes") {
  Rig rig(5, BookOf(kEven), 3, 5, 12);
  rig.fleet().Stall(4, true);
  for (std::size_t i = 0; i < 4; ++i) rig.crowd().Let(i, 20ms);
  REQUIRE(rig.Flows(200, 6s));
  if (std::getenv("PEATBEND_LONG") != nullptr) rig.Pause(60s);
  auto woke = Clock::now();
  rig.crowd().Let(4, 20ms);
  rig.fleet().Stall(4, false);
  CHECK(rig.Until([&] { return rig.crowd().Admitted(woke, 4) > 0; }, 3s));
  rig.Pause(1s);
  rig.CheckBound(kEven, 5);
}

void KillMost(std::size_t size, std::size_t killed) {
  Rig rig(size, BookOf(kSaved));
  UseHalf(rig);
  for (std::size_t i = 0; i < killed; ++i) rig.fleet().Kill(i);
  for (std::size_t i = 0; i < killed; ++i) rig.fleet().Start(i);
  CHECK(rig.Flows(10, 3s));
  rig.Pause(2s);
  rig.CheckBound(kSaved, size + killed);  // processes, those killed too
}

TEST_CASE("rations kill: four of five killed and back with nothing give nothing again") { KillMost(5, 4); }
TEST_CASE("rations kill: seven of ten killed and back with nothing give nothing again") { KillMost(10, 7); }

TEST_CASE("rations keeper: seats and their keeper killed, back with nothing") {
  Rig rig(5, BookOf(kSaved), 3, 5);
  UseHalf(rig);
  for (std::size_t i : {rig.Keeper(), std::size_t{0}, std::size_t{1}, std::size_t{2}, rig.Keeper()}) {
    rig.fleet().Kill(i);
    rig.fleet().Start(i);
    CHECK(rig.Flows(5, 2s));
  }
  rig.CheckBound(kSaved, 5 + 5);
}

TEST_CASE("rations keeper: a keeper that stood still for five seconds hands out nothing that counts") {
  Rig rig(5, BookOf(kEven), 3, 5);
  rig.crowd().LetAll(10ms);
  REQUIRE(rig.Flows(100, 5s));
  std::size_t keeper = rig.Keeper();
  rig.fleet().Stall(keeper, true);
  CHECK(rig.Flows(50, 2s));
  rig.Pause(4s);
  rig.fleet().Stall(keeper, false);
  CHECK(rig.Flows(50, 2s));
  for (auto still : {130ms, 210ms, 340ms, 550ms}) {  // too short to be taken for dead, or just long enough
    keeper = rig.Keeper();
    rig.fleet().Stall(keeper, true);
    rig.Pause(still);
    rig.fleet().Stall(keeper, false);
    CHECK(rig.Flows(20, 2s));
  }
  rig.CheckBound(kEven, 5);
}

TEST_CASE("rations names: two processes of one name at once") {
  Rig rig(6, BookOf(kEven), 3, 5);
  rig.crowd().LetAll(10ms);
  REQUIRE(rig.Flows(50, 5s));
  std::ifstream file(rig.Toml(5));
  std::string text((std::istreambuf_iterator<char>(file)), {});
  std::size_t name = text.find("name = \"r5\"");
  REQUIRE(name != std::string::npos);
  std::ofstream(rig.Toml(5)) << text.replace(name, 11, "name = \"r0\"");
  rig.fleet().Start(5);
  rig.Pause(2s);
  CHECK(rig.crowd().rejected(5) > 0);  // it is there
  CHECK(rig.Flows(100, 3s));
  rig.fleet().Kill(0);
  CHECK(rig.Flows(100, 3s));
  rig.fleet().Start(0);
  CHECK(rig.Flows(100, 3s));
  rig.CheckBound(kEven, 6);
}

TEST_CASE("rations links: links cut one way between a keeper and who draws") {
  Rig rig(5, BookOf(kEven), 3, 5);
  rig.crowd().Let(3, 10ms);
  rig.crowd().Let(4, 10ms);
  REQUIRE(rig.Flows(100, 5s));
  for (bool towards : {true, false}) {
    std::size_t keeper = rig.Keeper(), from = towards ? 4 : keeper, to = towards ? keeper : 4;
    rig.fleet().links().Set(from, to, {.cut = true});
    CHECK(rig.Flows(50, 2s));
    rig.Pause(1s);
    rig.fleet().links().Set(from, to, {});
    auto mended = Clock::now();
    CHECK(rig.Until([&] { return rig.crowd().Admitted(mended, 4) >= 10; }, 2s));
  }
  rig.CheckBound(kEven, 5);
}

TEST_CASE("rations links: loss, doubles and reordering on all links") {
  Rig rig(5, BookOf(kEven), 3, 5);
  rig.fleet().links().SetAll({.loss = 0.05, .duplicate = 0.05, .delay = 1ms, .spread = 8ms});
  rig.crowd().LetAll(10ms);
  REQUIRE(rig.Flows(50, 5s));
  auto from = Clock::now();
  rig.Pause(4s);
  CHECK(rig.crowd().Admitted(from) >= 0.5 * 4 * kEven.per_second);
  CHECK(rig.fleet().links().counts().lost > 0);
  rig.CheckBound(kEven, 5);
}

TEST_CASE("rations book: another book at one router, then at all; a faulty one is refused with its place") {
  const TokenRate less{50, 10};
  Rig rig(5, BookOf(kEven), 3, 5);
  rig.crowd().LetAll(10ms);
  REQUIRE(rig.Flows(50, 5s));
  std::uint64_t former = rig.Figures(0)["rations.book"];
  CHECK(former != 0);
  auto reload = [&](std::size_t node, const std::string& book) {
    rig.WriteBook(node, book);
    rig.fleet().process(node).Signal(SIGHUP);
  };
  reload(0, BookOf(less));
  CHECK(rig.Until([&] { return rig.Figures(0)["rations.book"] != former; }, 2s));
  CHECK(rig.Figures(1)["rations.book"] == former);
  rig.Pause(1s);
  reload(1, "book reads 1\nration all { counts everything; rate 10 a second; burst 1; hart; }\n");
  std::string refused = rig.Book(1) + ":2:";
  CHECK(rig.Until([&] { return rig.Log(1).find(refused) != std::string::npos; }, 2s));
  CHECK(rig.Figures(1)["rations.book"] == former);
  for (std::size_t i = 1; i < 5; ++i) reload(i, BookOf(less));
  std::uint64_t now = rig.Figures(0)["rations.book"];
  for (std::size_t i = 1; i < 5; ++i)
    CHECK(rig.Until([&] { return rig.Figures(i)["rations.book"] == now; }, 2s));
  CHECK(rig.Flows(30, 2s));
  rig.CheckBound(kEven, 5);
  auto from = Clock::now();
  rig.Pause(3s);
  std::size_t admitted = rig.crowd().Admitted(from);
  CHECK(static_cast<double>(admitted) <= less.burst + 3.1 * less.per_second + 5 * CreditLimit(less));
  CHECK(admitted >= 0.8 * 3 * less.per_second);
}

TEST_CASE("rations upgrade: new processes on the same addresses; the old ones use what is in hand") {
  Rig rig(5, BookOf(kSaved), 3, 5);
  UseHalf(rig);
  std::vector<Rig::Upgrade> upgrades;
  for (std::size_t i : {rig.Keeper(), std::size_t{0}, std::size_t{1}, std::size_t{4}}) {
    auto begun = Clock::now();
    pid_t old = rig.Follow(i);
    CHECK(rig.Until([&] { return rig.Log(i).find("a new process takes clients") != std::string::npos; }, 3s));
    CHECK(rig.Flows(5, 2s));
    kill(old, SIGTERM);
    int status = -1;
    waitpid(old, &status, 0);
    CHECK(status == 0);
    upgrades.push_back({begun, Clock::now()});
  }
  rig.CheckBound(kSaved, 5, upgrades);
}

TEST_CASE("rations upgrade: the book read last holds on when the process that followed is lost") {
  const TokenRate less{50, 10};
  Rig rig(5, BookOf(kEven), 3, 5);
  std::uint64_t former = rig.Figures(4)["rations.book"];
  for (std::size_t i = 0; i < 5; ++i) rig.WriteBook(i, BookOf(less));
  for (std::size_t i = 0; i < 5; ++i) rig.fleet().process(i).Signal(SIGHUP);
  for (std::size_t i = 0; i < 5; ++i)
    REQUIRE(rig.Until([&] { return rig.Figures(i)["rations.book"] != former; }, 2s));
  std::string admin = rig.Admin(4);
  pid_t old = rig.Follow(4);
  CHECK(rig.Until([&] { return rig.Log(4).find("a new process takes clients") != std::string::npos; }, 3s));
  rig.fleet().Kill(4);
  CHECK(rig.Until([&] { return rig.Log(4).find("the new process has ended") != std::string::npos; }, 3s));
  rig.crowd().Let(4, 10ms);
  CHECK(rig.Flows(50, 4s));
  CHECK(rig.Figures(0)["rations.book"] == rig.FiguresAt(admin)["rations.book"]);
  kill(old, SIGKILL);
  waitpid(old, nullptr, 0);
}

TEST_CASE("rations book: a book for other settings than those in force waits for the next start") {
  Rig rig(3, "book reads 1\nration all { counts franchisee acme; rate 20 a second; burst 10; hard; }\n");
  rig.crowd().Let(2, 10ms);
  REQUIRE(rig.Flows(20, 5s));
  std::ifstream file(rig.fleet().process(2).folder() + "/config.json");
  std::string text((std::istreambuf_iterator<char>(file)), {}), acme = R"({"name":"acme","share":1})";
  rig.fleet().process(2).Write(text.replace(text.find(acme), acme.size(),
                                            R"({"name":"new","share":0.5},{"name":"acme","share":0.5})"));
  rig.fleet().process(2).Signal(SIGHUP);
  CHECK(rig.Until(
      [&] { return rig.Log(2).find("rations.book: holds from the next start") != std::string::npos; }, 2s));
  auto from = Clock::now();
  rig.Pause(1s);
  CHECK(rig.crowd().Admitted(from) <= 10 + 20 * 1.2 + 2);  // of 400 that ask
  CHECK(rig.Flows(10, 2s));
}

// Both parts of soft rations that nobody keeps: who cannot reach the seats, and for how long.
void Soft(const std::string& alone, double least, double most) {
  CAPTURE(alone);
  Rig rig(5, BookOf(kEven, "soft, alone " + alone + ";"), 3, 5);
  rig.crowd().Let(3, 10ms);
  rig.crowd().Let(4, 10ms);
  REQUIRE(rig.Flows(50, 5s));
  rig.fleet().Split({3, 4}, {0, 1, 2}, true);
  rig.Pause(1s);
  auto from = Clock::now();
  rig.Pause(2s);
  auto admitted = static_cast<double>(rig.crowd().Admitted(from));
  CHECK(admitted >= least);
  CHECK(admitted <= most);
  rig.fleet().Split({3, 4}, {0, 1, 2}, false);
  CHECK(rig.Flows(50, 2s));
  rig.Pause(500ms);
  from = Clock::now();
  rig.Pause(2s);
  admitted = static_cast<double>(rig.crowd().Admitted(from));
  CHECK(admitted >= 0.8 * 2 * kEven.per_second);
  CHECK(admitted <= kEven.burst + 2.1 * kEven.per_second + 5 * CreditLimit(kEven));
}

TEST_CASE("rations soft: soft ones without their seats reject") { Soft("reject", 0, 2 * CreditLimit(kEven)); }
TEST_CASE("rations soft: soft ones without their seats admit each router's own share") {
  double share = kEven.per_second / 5 * 2;  // of two seconds, at one router
  Soft("own share", 2 * 0.8 * share, 2 * (1.1 * share + kEven.burst / 5 + CreditLimit(kEven)));
}
TEST_CASE("rations soft: soft ones without their seats are open") { Soft("open", 4 * kEven.per_second, 1e9); }

TEST_CASE("rations clients: each client's own, asked for at all routers at once") {
  const TokenRate own{5, 3};
  Rig rig(5, "book reads 1\nration own { counts each shop; rate 5 a second; burst 3; hard; }\n");
  rig.crowd().LetAll(20ms);
  rig.Pause(4s);
  auto all = rig.crowd().Admissions();
  for (int client = 0; client < 4; ++client) {
    std::vector<Admission> its;
    std::ranges::copy_if(all, std::back_inserter(its),
                         [&](const Admission& one) { return one.client == client; });
    CHECK(its.size() >= 0.7 * 4 * own.per_second);
    CHECK(MostAbove(its, own.per_second, own.burst, 5 * CreditLimit(own)) <= 1);
  }
}

// Descriptors and threads of a router at rest.
std::pair<std::size_t, std::size_t> Holds(Rig& rig, std::size_t node) {
  auto count = [&](const char* what) {
    auto at = std::filesystem::directory_iterator(
        fmt::format("/proc/{}/{}", rig.fleet().process(node).pid(), what));
    return static_cast<std::size_t>(std::distance(begin(at), end(at)));
  };
  return {count("fd"), count("task")};
}

TEST_CASE("rations off: off is nothing, and on without demand is silent") {
  std::pair<std::size_t, std::size_t> without;
  {
    Rig rig(3, "");
    rig.Pause(500ms);
    without = Holds(rig, 0);
    for (const auto& [name, value] : rig.Figures(0))
      CHECK_FALSE((name.starts_with("rations") || name.starts_with("publications")));
    CHECK(rig.Log(0).find("rations") == std::string::npos);
  }
  Rig rig(3, BookOf(kEven));
  rig.Pause(500ms);
  CHECK(Holds(rig, 0) == without);
  CHECK(rig.Figures(0)["rations.sent"] == 0);
}

}  // namespace
}  // namespace peatbend::rations::test
