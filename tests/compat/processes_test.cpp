// Real processes of the program that agree on books of rations, with faults between and in them.
#include <sys/wait.h>

#include <csignal>

#include "admin/ask.h"
#include "rations/process_rig.h"

namespace peatbend::rations::test {
namespace {

const TokenRate kFirst{100, 20}, kLess{50, 10}, kLeast{20, 5};

std::string Second(const TokenRate& pace, const std::string& retires = "") {
  std::string book = ConfigWith(pace);
  return "book reads 2\n" + retires + book.substr(book.find('\n') + 1);
}

class Fleet : public Rig {
 public:
  // Three seats. `old`: routers that read version 1 of the language alone.
  Fleet(std::size_t size, bool folders, std::vector<std::size_t> old = {}, std::size_t starts = 5)
      : Rig(size, ConfigWith(kFirst), 3, starts, 4, [&](std::size_t node) {
          std::string more = std::ranges::count(old, node) > 0 ? "reads = 1\n" : "";
          more += "[publications]\nseats = [\"r0/a\", \"r1/a\", \"r2/a\"]\n";
          if (folders) more += fmt::format("folder = \"{}\"\nfound = true\n", Folder(node));
          return more;
        }) {
    if (!folders) Found();
    CHECK(Hold(1, starts));
    for (std::size_t i = 0; i < starts; ++i)  // all have joined as readers
      CHECK(Until([&] { return Of(i, "waiting") == 0; }, 10s));
    // Two voters are enough for all this. A test that takes one from three needs the third.
    for (std::size_t seat : {0, 1, 2}) CHECK(Until([&] { return Of(seat, "votes") == 1; }, 10s));
  }
  std::string Folder(std::size_t node) { return fleet().process(node).folder() + "/publications"; }
  void Found() {
    for (std::size_t seat = 0; seat < 3; ++seat) {
      std::ofstream(Toml(seat), std::ios::app) << "found = true\n";
      Hup(seat);
    }
  }
  void Hup(std::size_t node) { fleet().process(node).Signal(SIGHUP); }
  void Propose(std::size_t node, const std::string& book) {
    WriteQuotas(node, book);
    Hup(node);
  }
  // Nothing of one that has not started yet.
  std::map<std::string, std::uint64_t> Told(std::size_t node) try {
    return Metrics(node);
  } catch (const std::exception&) {
    return {};
  }
  std::uint64_t Of(std::size_t node, const std::string& figure) {
    return Told(node)["publications." + figure];
  }
  bool Logged(std::size_t node, const std::string& text, Clock::duration within = 10s) {
    return Until([&] { return Log(node).find(text) != std::string::npos; }, within);
  }
  // All of the first so many that run hold that version, and one book.
  bool Hold(std::uint64_t version, std::size_t routers) {
    return Until(
        [&] {
          std::uint64_t print = 0;
          for (std::size_t i = 0; i < routers; ++i) {
            if (!fleet().up(i)) continue;
            auto figures = Told(i);
            if (figures["publications.book_holds"] != version) return false;
            if (print != 0 && print != figures["rations.book"]) return false;
            print = figures["rations.book"];
          }
          return true;
        },
        15s);
  }
};

TEST_CASE("publications book: one router proposes, all switch; half are told while requests flow") {
  Fleet fleet(5, false);
  fleet.clients().SetIntervals(10ms);
  REQUIRE(fleet.WaitForAdmissions(50, 10s));
  fleet.fleet().Split({3}, {0, 1, 2, 4}, true);
  fleet.CheckBound(kFirst, 5);
  fleet.Propose(4, ConfigWith(kLess));
  CHECK(fleet.Until([&] { return fleet.Of(0, "book_holds") == 2 && fleet.Of(4, "book_holds") == 2; }, 10s));
  CHECK(fleet.WaitForAdmissions(20, 5s));
  CHECK(fleet.Of(3, "book_holds") == 1);
  fleet.fleet().Split({3}, {0, 1, 2, 4}, false);
  CHECK(fleet.Hold(2, 5));
  auto switched = Clock::now();
  CHECK(fleet.WaitForAdmissions(30, 5s));
  fleet.CheckBound(kLess, 5, switched);
  // The file at the others is the former: that is no proposal.
  fleet.Hup(1);
  fleet.Propose(1, ConfigWith(kLeast));
  CHECK(fleet.Hold(3, 5));
  switched = Clock::now();
  CHECK(fleet.WaitForAdmissions(30, 5s));
  fleet.CheckBound(kLeast, 5, switched);
}

TEST_CASE("publications parts: two books in two halves, of which one is accepted and the other refused") {
  Fleet fleet(5, false);
  fleet.clients().SetIntervals(20ms);
  fleet.fleet().Split({0, 3}, {1, 2, 4}, true);
  CHECK(fleet.WaitForAdmissions(30, 5s));
  fleet.CheckBound(kFirst, 5);
  fleet.Propose(3, ConfigWith(kLeast));
  fleet.Propose(4, ConfigWith(kLess));
  CHECK(fleet.Until([&] { return fleet.Of(4, "book_holds") == 2 && fleet.Of(1, "book_holds") == 2; }, 10s));
  CHECK(fleet.Of(3, "book_accepted") == 1);
  CHECK(fleet.Of(0, "book_accepted") == 1);
  fleet.fleet().Split({0, 3}, {1, 2, 4}, false);
  CHECK(fleet.Logged(3, "another has been accepted under this number, with version 2; the former holds"));
  CHECK(fleet.Hold(2, 5));
  CHECK(net::AskRouter(fleet.Admin(3), "DUMP").find("publications.book_refused=book ") != std::string::npos);
  auto switched = Clock::now();
  CHECK(fleet.WaitForAdmissions(30, 5s));
  fleet.CheckBound(kLess, 5, switched);
}

TEST_CASE(
    "publications language: a book that one cannot read, or none; silence is not retirement, a word is") {
  Fleet fleet(6, false, {3, 5});
  fleet.clients().SetIntervals(20ms);
  fleet.Propose(4, Second(kLess));
  CHECK(fleet.Logged(4, "language 2 is not read, read by r3; r3: statement 1, heard now; the former holds"));
  fleet.Propose(4, "book reads 3\n");
  CHECK(fleet.Logged(4, "the book needs version 3 of the language; this program reads versions 1 to 2"));
  fleet.fleet().Kill(3);
  fleet.Propose(4, Second(kLeast));
  CHECK(fleet.Until([&] { return fleet.Of(4, "refused") == 2; }, 10s));
  CHECK(fleet.Of(4, "book_holds") == 1);
  CHECK(fleet.WaitForAdmissions(20, 5s));
  fleet.CheckBound(kFirst, 5);
  // One that reads the old language alone joins in this moment: it counts, or it may not read.
  fleet.fleet().Start(5);
  fleet.Propose(4, Second(kLess, "retire reader r3 statement 1 because \"its shop is closed\";\n"));
  auto accepted = [&] { return fleet.Of(4, "book_accepted") == 2; };
  CHECK(fleet.Until([&] { return accepted() || fleet.Of(4, "refused") == 3; }, 10s));
  if (accepted()) {
    CHECK(fleet.Logged(5, "this router may not read the books of its fleet"));
  } else {
    CHECK(fleet.Logged(4, "read by r5"));
    fleet.fleet().Kill(5);
    fleet.Propose(4, Second(kLess,
                            "retire reader r3 statement 1 because \"its shop is closed\";\n"
                            "retire reader r5 statement 1 because \"never opened\";\n"));
  }
  for (std::size_t i : {0, 1, 2, 4}) CHECK(fleet.Until([&] { return fleet.Of(i, "book_holds") == 2; }, 10s));
  auto switched = Clock::now();
  fleet.fleet().Start(3);
  CHECK(fleet.Logged(3, "this router may not read the books of its fleet"));
  CHECK(fleet.Of(3, "book_holds") == 0);
  CHECK(fleet.WaitForAdmissions(30, 5s));
  fleet.CheckBound(kLess, 6, switched);
}

TEST_CASE("publications seat: with folders all seats may be killed; a damaged one is refused") {
  Fleet fleet(5, true);
  for (std::size_t seat : {0, 1, 2}) fleet.fleet().Kill(seat);
  for (std::size_t seat : {0, 1, 2}) fleet.fleet().Start(seat);
  fleet.Propose(4, ConfigWith(kLess));
  CHECK(fleet.Hold(2, 5));
  pid_t old = fleet.StartSuccessor(0);  // an upgrade: the folder goes over
  CHECK(fleet.Until([&] { return fleet.Of(0, "votes") == 1 && fleet.Of(0, "book_holds") == 2; }, 10s));
  CHECK(fleet.Of(0, "words") == 0);
  kill(old, SIGTERM);
  waitpid(old, nullptr, 0);
  fleet.fleet().Kill(0);
  std::fstream file(fleet.Folder(0) + "/register", std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(40).put('!');
  file.close();
  fleet.fleet().Start(0);
  CHECK(fleet.Logged(0, "register: its checksum is wrong; move it away and start again"));
  fleet.Propose(4, ConfigWith(kLeast));  // the two others accept it
  CHECK(fleet.Hold(3, 5));
  CHECK(fleet.Of(0, "votes") == 0);
  fleet.fleet().Kill(0);
  std::filesystem::remove(fleet.Folder(0) + "/register");
  fleet.fleet().Start(0);
  CHECK(fleet.Logged(0, "not founded again: another seat knows this one from before"));
  CHECK(fleet.Until([&] { return fleet.Of(0, "votes") == 1; }, 10s));
}

TEST_CASE("publications seat: without folders one may be killed; two that have forgotten accept nothing") {
  Fleet fleet(5, false);
  fleet.fleet().Kill(0);
  fleet.fleet().Start(0);
  CHECK(fleet.Logged(0, "publications.found at a start without a folder founds nothing"));
  CHECK(fleet.Until([&] { return fleet.Of(0, "votes") == 1; }, 10s));
  fleet.fleet().Kill(1);
  fleet.Propose(4, ConfigWith(kLess));
  CHECK(fleet.Until([&] { return fleet.Of(4, "book_holds") == 2; }, 10s));
  fleet.fleet().Kill(0);
  for (std::size_t seat : {0, 1}) fleet.fleet().Start(seat);
  fleet.Propose(4, ConfigWith(kLeast));
  fleet.Sleep(2s);
  CHECK(fleet.Of(4, "book_accepted") == 2);
  CHECK(fleet.Of(4, "waiting") == 1);
  CHECK(fleet.Of(0, "votes") + fleet.Of(1, "votes") == 0);
  CHECK(fleet.Until([&] { return fleet.Of(0, "book_holds") == 2; },
                    10s));  // of the others it learns what stood
}

}  // namespace
}  // namespace peatbend::rations::test
