// Real router processes that agree on quota configurations, with faults in and between them.
#include <sys/wait.h>

#include <csignal>

#include "admin/ask.h"
#include "rations/process_rig.h"

namespace peatbend::rations::test {
namespace {

const TokenRate kFirst{100, 20}, kLess{50, 10}, kLeast{20, 5};

std::string ConfigOfLanguage2(const TokenRate& pace, const std::string& retires = "") {
  std::string book = ConfigWith(pace);
  return "book reads 2\n" + retires + book.substr(book.find('\n') + 1);
}

class Fleet : public Rig {
 public:
  // Three replicas of the registry. `old`: routers that read only version 1 of the quota language.
  Fleet(std::size_t size, bool folders, std::vector<std::size_t> old = {}, std::size_t starts = 5)
      : Rig(size, ConfigWith(kFirst), 3, starts, 4, [&](std::size_t node) {
          std::string more = std::ranges::count(old, node) > 0 ? "reads = 1\n" : "";
          more += "[publications]\nseats = [\"r0/a\", \"r1/a\", \"r2/a\"]\n";
          if (folders) more += fmt::format("folder = \"{}\"\nfound = true\n", Folder(node));
          return more;
        }) {
    if (!folders) Bootstrap();
    CHECK(WaitForVersion(1, starts));
    for (std::size_t i = 0; i < starts; ++i)  // all have registered as readers
      CHECK(Until([&] { return MetricOf(i, "waiting") == 0; }, 10s));
    // Two voting replicas are enough so far; a test that stops one of three needs the third.
    for (std::size_t replica : {0, 1, 2}) CHECK(Until([&] { return MetricOf(replica, "votes") == 1; }, 10s));
  }
  std::string Folder(std::size_t node) { return fleet().process(node).folder() + "/publications"; }
  void Bootstrap() {
    for (std::size_t replica = 0; replica < 3; ++replica) {
      std::ofstream(Toml(replica), std::ios::app) << "found = true\n";
      Hup(replica);
    }
  }
  void Hup(std::size_t node) { fleet().process(node).Signal(SIGHUP); }
  void Propose(std::size_t node, const std::string& book) {
    WriteQuotas(node, book);
    Hup(node);
  }
  // Empty for a router that has not started yet.
  std::map<std::string, std::uint64_t> MetricsOf(std::size_t node) try {
    return Metrics(node);
  } catch (const std::exception&) {
    return {};
  }
  std::uint64_t MetricOf(std::size_t node, const std::string& figure) {
    return MetricsOf(node)["publications." + figure];
  }
  bool Logged(std::size_t node, const std::string& text, Clock::duration within = 10s) {
    return Until([&] { return Log(node).find(text) != std::string::npos; }, within);
  }
  // The running ones of the first `routers` routers have that version active, and the same configuration.
  bool WaitForVersion(std::uint64_t version, std::size_t routers) {
    return Until(
        [&] {
          std::uint64_t fingerprint = 0;
          for (std::size_t i = 0; i < routers; ++i) {
            if (!fleet().up(i)) continue;
            auto figures = MetricsOf(i);
            if (figures["publications.book_holds"] != version) return false;
            if (fingerprint != 0 && fingerprint != figures["rations.book"]) return false;
            fingerprint = figures["rations.book"];
          }
          return true;
        },
        15s);
  }
};

TEST_CASE("publications book: one router proposes, all switch; a router cut off switches later") {
  Fleet fleet(5, false);
  fleet.clients().SetIntervals(10ms);
  REQUIRE(fleet.WaitForAdmissions(50, 10s));
  fleet.fleet().Split({3}, {0, 1, 2, 4}, true);
  fleet.CheckBound(kFirst, 5);
  fleet.Propose(4, ConfigWith(kLess));
  CHECK(fleet.Until(
      [&] { return fleet.MetricOf(0, "book_holds") == 2 && fleet.MetricOf(4, "book_holds") == 2; }, 10s));
  CHECK(fleet.WaitForAdmissions(20, 5s));
  CHECK(fleet.MetricOf(3, "book_holds") == 1);
  fleet.fleet().Split({3}, {0, 1, 2, 4}, false);
  CHECK(fleet.WaitForVersion(2, 5));
  auto switched = Clock::now();
  CHECK(fleet.WaitForAdmissions(30, 5s));
  fleet.CheckBound(kLess, 5, switched);
  // The others' files hold the former configuration; reloading one is no proposal.
  fleet.Hup(1);
  fleet.Propose(1, ConfigWith(kLeast));
  CHECK(fleet.WaitForVersion(3, 5));
  switched = Clock::now();
  CHECK(fleet.WaitForAdmissions(30, 5s));
  fleet.CheckBound(kLeast, 5, switched);
}

TEST_CASE("publications parts: two configurations in a partition, one accepted and the other rejected") {
  Fleet fleet(5, false);
  fleet.clients().SetIntervals(20ms);
  fleet.fleet().Split({0, 3}, {1, 2, 4}, true);
  CHECK(fleet.WaitForAdmissions(30, 5s));
  fleet.CheckBound(kFirst, 5);
  fleet.Propose(3, ConfigWith(kLeast));
  fleet.Propose(4, ConfigWith(kLess));
  CHECK(fleet.Until(
      [&] { return fleet.MetricOf(4, "book_holds") == 2 && fleet.MetricOf(1, "book_holds") == 2; }, 10s));
  CHECK(fleet.MetricOf(3, "book_accepted") == 1);
  CHECK(fleet.MetricOf(0, "book_accepted") == 1);
  fleet.fleet().Split({0, 3}, {1, 2, 4}, false);
  CHECK(fleet.Logged(
      3, "another has been accepted under this number, with version 2; the former one stays active"));
  CHECK(fleet.WaitForVersion(2, 5));
  CHECK(net::AskRouter(fleet.Admin(3), "DUMP").find("publications.book_refused=quota configuration ") !=
        std::string::npos);
  auto switched = Clock::now();
  CHECK(fleet.WaitForAdmissions(30, 5s));
  fleet.CheckBound(kLess, 5, switched);
}

TEST_CASE(
    "publications language: versions that some or all cannot read; retirement by an operator, not by "
    "silence") {
  Fleet fleet(6, false, {3, 5});
  fleet.clients().SetIntervals(20ms);
  fleet.Propose(4, ConfigOfLanguage2(kLess));
  CHECK(fleet.Logged(
      4, "language 2 is not read, read by r3; r3: statement 1, heard now; the former one stays active"));
  fleet.Propose(4, "book reads 3\n");
  CHECK(fleet.Logged(4, "the book needs version 3 of the language; this program reads versions 1 to 2"));
  fleet.fleet().Kill(3);
  fleet.Propose(4, ConfigOfLanguage2(kLeast));
  CHECK(fleet.Until([&] { return fleet.MetricOf(4, "refused") == 2; }, 10s));
  CHECK(fleet.MetricOf(4, "book_holds") == 1);
  CHECK(fleet.WaitForAdmissions(20, 5s));
  fleet.CheckBound(kFirst, 5);
  // A router that reads only the old language registers at this moment: either it counts, or it is rejected.
  fleet.fleet().Start(5);
  fleet.Propose(4,
                ConfigOfLanguage2(kLess, "retire reader r3 statement 1 because \"its shop is closed\";\n"));
  auto accepted = [&] { return fleet.MetricOf(4, "book_accepted") == 2; };
  CHECK(fleet.Until([&] { return accepted() || fleet.MetricOf(4, "refused") == 3; }, 10s));
  if (accepted()) {
    CHECK(fleet.Logged(5, "this router is rejected as a reader of the fleet's quota configurations"));
  } else {
    CHECK(fleet.Logged(4, "read by r5"));
    fleet.fleet().Kill(5);
    fleet.Propose(4, ConfigOfLanguage2(kLess,
                                       "retire reader r3 statement 1 because \"its shop is closed\";\n"
                                       "retire reader r5 statement 1 because \"never opened\";\n"));
  }
  for (std::size_t i : {0, 1, 2, 4})
    CHECK(fleet.Until([&] { return fleet.MetricOf(i, "book_holds") == 2; }, 10s));
  auto switched = Clock::now();
  fleet.fleet().Start(3);
  CHECK(fleet.Logged(3, "this router is rejected as a reader of the fleet's quota configurations"));
  CHECK(fleet.MetricOf(3, "book_holds") == 0);
  CHECK(fleet.WaitForAdmissions(30, 5s));
  fleet.CheckBound(kLess, 6, switched);
}

TEST_CASE("publications seat: with folders all replicas may be killed; a damaged file is rejected") {
  Fleet fleet(5, true);
  for (std::size_t replica : {0, 1, 2}) fleet.fleet().Kill(replica);
  for (std::size_t replica : {0, 1, 2}) fleet.fleet().Start(replica);
  fleet.Propose(4, ConfigWith(kLess));
  CHECK(fleet.WaitForVersion(2, 5));
  pid_t old = fleet.StartSuccessor(0);  // an upgrade: the successor takes over the folder
  CHECK(fleet.Until([&] { return fleet.MetricOf(0, "votes") == 1 && fleet.MetricOf(0, "book_holds") == 2; },
                    10s));
  CHECK(fleet.MetricOf(0, "words") == 0);
  kill(old, SIGTERM);
  waitpid(old, nullptr, 0);
  fleet.fleet().Kill(0);
  std::fstream file(fleet.Folder(0) + "/register", std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(40).put('!');
  file.close();
  fleet.fleet().Start(0);
  CHECK(fleet.Logged(0, "register: its checksum is wrong; move it away and start again"));
  fleet.Propose(4, ConfigWith(kLeast));  // committed by the two others
  CHECK(fleet.WaitForVersion(3, 5));
  CHECK(fleet.MetricOf(0, "votes") == 0);
  fleet.fleet().Kill(0);
  std::filesystem::remove(fleet.Folder(0) + "/register");
  fleet.fleet().Start(0);
  CHECK(fleet.Logged(0, "not founded again: another seat knows this one from before"));
  CHECK(fleet.Until([&] { return fleet.MetricOf(0, "votes") == 1; }, 10s));
}

TEST_CASE("publications seat: without folders one may be killed; two that lost their state commit nothing") {
  Fleet fleet(5, false);
  fleet.fleet().Kill(0);
  fleet.fleet().Start(0);
  CHECK(fleet.Logged(0, "publications.found at a start without a folder founds nothing"));
  CHECK(fleet.Until([&] { return fleet.MetricOf(0, "votes") == 1; }, 10s));
  fleet.fleet().Kill(1);
  fleet.Propose(4, ConfigWith(kLess));
  CHECK(fleet.Until([&] { return fleet.MetricOf(4, "book_holds") == 2; }, 10s));
  fleet.fleet().Kill(0);
  for (std::size_t replica : {0, 1}) fleet.fleet().Start(replica);
  fleet.Propose(4, ConfigWith(kLeast));
  fleet.Sleep(2s);
  CHECK(fleet.MetricOf(4, "book_accepted") == 2);
  CHECK(fleet.MetricOf(4, "waiting") == 1);
  CHECK(fleet.MetricOf(0, "votes") + fleet.MetricOf(1, "votes") == 0);
  CHECK(fleet.Until([&] { return fleet.MetricOf(0, "book_holds") == 2; },
                    10s));  // learns the committed state from the others
}

}  // namespace
}  // namespace peatbend::rations::test
