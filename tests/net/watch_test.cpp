// The watch on discovery where discovery fails: what ends a call that will tell nothing, lists that
// contradict what is held, and a router whose discovery is moved while it is asked.
#include "net/watch_stage.h"

namespace peatbend::net::test {
namespace {

using std::chrono::steady_clock;

// A listening socket whose queue is full: no further connection comes up, and nothing is said.
class FullQueue {
 public:
  explicit FullQueue(event_base* base) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in at = Loopback(0);
    socklen_t size = sizeof at;
    REQUIRE(bind(socket_, reinterpret_cast<sockaddr*>(&at), size) == 0);
    REQUIRE(listen(socket_, 0) == 0);
    getsockname(socket_, reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
    for (int i = 0; i < 4; ++i) queue_.emplace_back(base, -1).Connect(port);
  }
  ~FullQueue() { close(socket_); }
  FullQueue(const FullQueue&) = delete;
  FullQueue& operator=(const FullQueue&) = delete;

  int port = 0;

 private:
  int socket_;
  std::list<End> queue_;
};

// Where the network to discovery is cut, the call is given up long before the silence that a sound watch is
// allowed: what was sent into the cut is not sent again for seconds.
TEST_CASE("watch: a connection that does not come up is given up soon") {
  Watching watch(600000);
  FullQueue full(watch.base.get());
  watch.Open(full.port);
  watch.Until([&] { return !watch.news.empty(); });
  CHECK(watch.Failed());
}

TEST_CASE("watch: heartbeats alone do not keep one that has asked for the whole list") {
  Watching watch(150, 0);
  watch.Drip(watch.Answer(kWatchHead), {Piece("\n")}, 20);
  watch.Until([&] { return !watch.news.empty(); });
  CHECK(watch.Failed());
}

// A list under way is given a quarter more than a silence in all: together with the pause before the next
// call it stays within the time after which what discovery has to tell counts as told.
TEST_CASE("watch: a list that never ends is given up in time for another call") {
  Watching watch(1000, 7, 65536);
  watch.Drip(watch.Answer(kWatchHead), {Piece("{"), Piece(std::string(20000, ' '))}, 50);
  watch.Until([&] { return !watch.news.empty(); });
  CHECK(watch.Failed());
  CHECK(watch.drips >= 10);  // while it comes it is waited for
  CHECK(watch.drips <= 40);  // 25 are due
}

// The longer time that unfinished lists have earned the next call is one discovery's: after a move the first
// call is given up as soon as any first one.
TEST_CASE("watch: lists that never ended at one discovery give those of the next no longer") {
  const std::vector<std::string> endless = {Piece("{"), Piece(std::string(20000, ' '))};
  Watching watch(400, 7, 65536);
  for (std::size_t call : {1, 2}) {
    watch.drips = 0;
    watch.Drip(watch.Answer(kWatchHead, call), endless, 20);
    watch.Until([&] { return watch.news.size() == call; });
    if (call == 1) watch.discovery_watch->Watch();
  }
  Peer next(watch.base.get());
  watch.discovery_watch->MoveTo("127.0.0.1:" + std::to_string(next.port));
  watch.Until([&] { return next.Count("from=0 ") == 1; });
  next.ends.back().Say(kWatchHead);
  watch.drips = 0;
  watch.Drip(next.ends.back(), endless, 20);
  watch.Until([&] { return watch.news.size() == 3; });
  CHECK(watch.drips <= 50);  // 25 are due; twice unfinished, 80
}

// Versions only grow: a discovery that tells a lower one has begun to count anew, and what it leaves out it
// may never have heard of.
TEST_CASE("watch: changes up to a lower version than held lead to the whole list") {
  Watching watch(20000, 41);
  End& first = watch.Answer(kWatchHead + Piece(List(42, true, {"a", "b"})));
  watch.Until([&] { return watch.news.size() == 1; });
  first.Say(Piece(List(5, false, {"c"})));
  watch.Until([&] { return watch.news.size() == 3; });
  CHECK(watch.news == std::vector<Scope>{Scope::kFull, Scope::kDelta, Scope::kFailed});
  CHECK(watch.Names() == "a b c ");  // what it told is taken
  watch.discovery_watch->Watch();
  watch.Answer(kWatchHead + Piece(List(5, true, {"c"})), 2);
  CHECK(watch.discovery.ends.back().got.find("from=0 ") != std::string::npos);
  watch.Until([&] { return watch.news.size() == 4; });
  CHECK(watch.Names() == "c ");
  CHECK(watch.discovery_watch->index() == 5);
  watch.discovery.ends.back().Say(Piece(List(5, false, {"d"})) + Piece(List(6, false, {"e"})));
  watch.Until([&] { return watch.news.size() == 6; });
  CHECK(watch.Names() == "c d e ");  // the same version again is no lower one
}

TEST_CASE("watch: a whole list on a watch that stands replaces what is held, at any version") {
  Watching watch(20000, 41);
  End& end = watch.Answer(kWatchHead + Piece(List(42, false, {"a"})) + Piece(List(43, true, {"b", "c"}, 2)));
  watch.Until([&] { return watch.news.size() == 2; });
  CHECK(watch.Names() == "b c ");
  end.Say(Piece(Gone(44, "c")) + Piece(List(3, true, {"x"})) + Piece(List(4, false, {"y"}, 4)));
  watch.Until([&] { return watch.news.size() == 5; });
  CHECK(watch.Names() == "x y ");
  CHECK(watch.discovery_watch->index() == 4);
  CHECK(watch.counters.watch_failures == 0);
}

TEST_CASE("watch: of two lists in one piece the first counts, though the second cannot be read") {
  for (const std::string bad :
       {R"({"index":9})", R"({"index":"9","endpoints":[]})", R"({"endpoints":[]})",
        R"({"index":9,"endpoints":{}})", R"({"index":9,"endpoints":[7]})",
        R"({"index":9,"endpoints":[{"name":"z","status":"SERVING"}]})",
        R"({"index":9,"endpoints":[{"name":"z","address":"x","status":"SERVING"}]})",
        R"({"index":9,"endpoints":[{"name":"z","address":"1.2.3.4:5","status":"UP"}]})",
        R"({"index":9,"snapshot":"yes","endpoints":[]})", R"({"index":9,"endpoints":[})", R"({index})"}) {
    CAPTURE(bad);
    Watching watch;
    watch.Answer(kWatchHead + Piece(List(8, true, {"a"}) + "\n" + bad + "\n"));
    watch.Until([&] { return watch.news.size() == 2; });
    CHECK(watch.news == std::vector<Scope>{Scope::kFull, Scope::kFailed});
    CHECK(watch.Names() == "a ");
    CHECK(watch.discovery_watch->index() == 8);
    watch.discovery_watch->Watch();
    watch.Answer(kWatchHead + Piece(List(9, false, {"b"})), 2);
    CHECK(watch.discovery.ends.back().got.find("from=8 ") != std::string::npos);
    watch.Until([&] { return watch.news.size() == 3; });
    CHECK(watch.Names() == "a b ");
  }
}

// ---- A router whose discovery is moved ------------------------------------------------------------

// A router, two members, and discoveries to move between.
class Moving : public Stage {
 public:
  Moving() : Stage(Says(Value("old"))), next(base.get()), other(base.get(), Says(Value("new"))) {}

  void MoveTo(int port) {
    Config config = Configured();
    config.discovery = "127.0.0.1:" + std::to_string(port);
    router.Reload([&] { return config; });
  }
  // A list that names the one member, and that drains the other.
  std::string Draining(int index, bool snapshot, bool old) const {
    std::string drained = Member("box-1", member.port), serving = Member("box-2", other.port);
    if (!old) std::swap(drained, serving);
    drained.replace(drained.find("SERVING"), 7, "DRAINING");
    return Chunk(R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" + (snapshot ? "true" : "false") +
                 R"(,"endpoints":[)" + drained + "," + serving + "]}");
  }
  // Waits for this many watches in all that asked from there, and answers the last.
  End& Answer(Peer& peer, std::size_t count, const std::string& from, const std::string& text) {
    Until([&] { return peer.Count("watch=1&from=" + from + " ") == count; });
    peer.ends.back().Say(text);
    return peer.ends.back();
  }
  void Changes(std::uint64_t count) {
    Until([&] { return router.counters().server_list_changes == count; });
  }
  void Pass(std::chrono::milliseconds time) {
    auto from = steady_clock::now();
    Until([&] { return steady_clock::now() - from > time; });
  }
  std::string Read() { return Ask(Get(kKey, "c=read,d=1900")); }

  Peer next, other;
};

constexpr std::chrono::milliseconds kLongestFirstPause{600};
constexpr std::chrono::seconds kToldAfter{6};  // counts what discovery has to tell, from when it could be had

TEST_CASE("reload: what the old discovery still says after the move is not heard") {
  Moving stage;
  End& old = stage.Watched({R"({"index":70,"snapshot":false,"endpoints":[]})"});
  stage.Changes(1);
  stage.MoveTo(stage.next.port);
  old.Say(stage.Draining(71, false, true));  // on its way as the move is made
  stage.Answer(stage.next, 1, "0", kWatchHead + stage.Draining(3, true, false));
  stage.Changes(2);
  stage.Until([&] { return old.closed; });
  CHECK(stage.Read() == "$3\r\nold\r\n");
  stage.next.ends.back().Say(stage.Draining(4, false, true));  // drained at once after the move
  stage.Changes(3);
  CHECK(stage.Read() == "$3\r\nnew\r\n");
}

TEST_CASE("reload: a new discovery that fails at first is asked again, and the list held serves meanwhile") {
  for (const std::string failure :
       {"", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "nonsense\r\n\r\n"}) {
    CAPTURE(failure);
    Moving stage;
    stage.Watched({R"({"index":70,"snapshot":false,"endpoints":[]})"});
    stage.Changes(1);
    stage.MoveTo(stage.next.port);
    for (std::size_t call : {1, 2}) {
      End& end = stage.Answer(stage.next, call, "0", failure);
      if (failure.empty()) end.Hang();
      CHECK(stage.Read() == "$3\r\nold\r\n");
    }
    stage.Answer(stage.next, 3, "0", kWatchHead + stage.Draining(3, true, true));
    stage.Changes(2);
    CHECK(stage.Read() == "$3\r\nnew\r\n");
  }
}

TEST_CASE("reload: to a discovery that refuses, and back to the old one") {
  Moving stage;
  stage.Watched({R"({"index":70,"snapshot":false,"endpoints":[]})"});
  stage.Changes(1);
  stage.next.Refuse();
  stage.MoveTo(stage.next.port);
  stage.Until([&] { return stage.router.counters().watch_failures >= 2; });
  stage.MoveTo(stage.discovery.port);
  stage.Answer(stage.discovery, 1, "0", kWatchHead + stage.Draining(71, true, true));
  stage.Changes(2);
  CHECK(stage.Read() == "$3\r\nnew\r\n");
}

TEST_CASE("reload: twice in a row, the last address counts; the same address moves nothing") {
  Moving stage;
  Peer last(stage.base.get());
  End& old = stage.Watched({R"({"index":70,"snapshot":false,"endpoints":[]})"});
  stage.Changes(1);
  stage.MoveTo(stage.next.port);
  stage.MoveTo(last.port);
  stage.MoveTo(last.port);
  stage.Answer(last, 1, "0", kWatchHead + stage.Draining(2, true, true));
  stage.Changes(2);
  CHECK(stage.Read() == "$3\r\nnew\r\n");
  stage.Until([&] { return old.closed; });
  stage.MoveTo(last.port);
  stage.Pass(kLongestFirstPause);
  CHECK(last.ends.size() == 1);
  CHECK(!last.ends.back().closed);
  for (End& end : stage.next.ends) CHECK(end.closed);
}

// Together: the silence, the module's pauses and a call that is turned away; with the tuning that is
// installed.
TEST_CASE("what a watch that falls silent misses is had in time, though the next call is turned away") {
  Moving stage;
  stage.Watched({R"({"index":70,"snapshot":false,"endpoints":[]})"});
  stage.Changes(1);
  auto silent_from = steady_clock::now();
  stage.Answer(stage.discovery, 1, "70", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  stage.Answer(stage.discovery, 2, "70", kWatchHead + stage.Draining(71, false, true));
  stage.Changes(2);
  CHECK(stage.Read() == "$3\r\nnew\r\n");
  CHECK(steady_clock::now() - silent_from < kToldAfter);
}

// The module's pause after the old discovery's failure goes on through the move: what is due at its end has
// been done by then, and a call that waits for its answer must not lose its place.
TEST_CASE("reload: the call at the new discovery is not broken off by a repeat due from before") {
  Moving stage;
  End& old = stage.Watched({R"({"index":70,"snapshot":false,"endpoints":[]})"});
  stage.Changes(1);
  old.Hang();
  stage.Until([&] { return stage.router.counters().watch_failures == 1; });
  stage.MoveTo(stage.next.port);
  stage.Until([&] { return stage.next.Count("from=0 ") == 1; });
  stage.Pass(kLongestFirstPause + std::chrono::milliseconds(100));
  CHECK(stage.next.ends.size() == 1);
  CHECK(!stage.next.ends.back().closed);
  stage.Answer(stage.next, 1, "0", kWatchHead + stage.Draining(3, true, true));
  stage.Changes(2);
  CHECK(stage.Read() == "$3\r\nnew\r\n");
}

TEST_CASE("a list that cannot be read leaves the last good one in force, and is asked for again") {
  Moving stage;
  stage.Answer(stage.discovery, 1, "41", kWatchHead + stage.Draining(42, false, true));
  stage.Changes(1);
  stage.discovery.ends.back().Say(Chunk(R"({"index":43,"endpoints":"none"})"));
  stage.Until([&] { return stage.router.counters().watch_failures == 1; });
  CHECK(stage.Read() == "$3\r\nnew\r\n");
  stage.Answer(stage.discovery, 1, "42", kWatchHead + stage.Draining(43, false, false));
  stage.Changes(2);
  CHECK(stage.Read() == "$3\r\nold\r\n");
}

}  // namespace
}  // namespace peatbend::net::test
