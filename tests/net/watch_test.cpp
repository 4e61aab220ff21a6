// DiscoveryWatch with a faulty discovery server: timeouts, lists that contradict the list held, and a router
// whose discovery address changes during a watch.
#include "net/watch_fixture.h"

namespace peatbend::net::test {
namespace {

using std::chrono::steady_clock;

// A listening socket with a full backlog: it accepts no further connection.
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

// If the network to discovery is down, connecting times out long before the silence timeout: TCP would not
// retransmit for seconds.
TEST_CASE("watch: a connection that is not established times out early") {
  WatchFixture watch(600000);
  FullQueue full(watch.base.get());
  watch.Open(full.port);
  watch.Until([&] { return !watch.scopes.empty(); });
  CHECK(watch.Failed());
}

TEST_CASE("watch: heartbeats alone do not keep a watch that requested the full list") {
  WatchFixture watch(150, 0);
  watch.SendPeriodically(watch.Answer(kWatchHead), {HttpChunk("\n")}, 20);
  watch.Until([&] { return !watch.scopes.empty(); });
  CHECK(watch.Failed());
}

// A list gets 1.25 times the silence timeout. With the pause before the next watch this stays within the time
// in which updates from discovery have to arrive.
TEST_CASE("watch: a list that never ends times out early enough for another watch") {
  WatchFixture watch(1000, 7, 65536);
  watch.SendPeriodically(watch.Answer(kWatchHead), {HttpChunk("{"), HttpChunk(std::string(20000, ' '))}, 50);
  watch.Until([&] { return !watch.scopes.empty(); });
  CHECK(watch.Failed());
  CHECK(watch.parts_sent >= 10);  // a list in progress is awaited
  CHECK(watch.parts_sent <= 40);  // 25 expected
}

// The longer time limit after unfinished lists applies to one discovery server: after a change of address the
// first watch has the initial limit again.
TEST_CASE("watch: unfinished lists of one discovery server do not extend the time limit of the next") {
  const std::vector<std::string> endless = {HttpChunk("{"), HttpChunk(std::string(20000, ' '))};
  WatchFixture watch(400, 7, 65536);
  for (std::size_t call : {1, 2}) {
    watch.parts_sent = 0;
    watch.SendPeriodically(watch.Answer(kWatchHead, call), endless, 20);
    watch.Until([&] { return watch.scopes.size() == call; });
    if (call == 1) watch.discovery_watch->StartWatch();
  }
  Peer next(watch.base.get());
  watch.discovery_watch->ChangeAddress("127.0.0.1:" + std::to_string(next.port));
  watch.Until([&] { return next.Count("from=0 ") == 1; });
  next.ends.back().Say(kWatchHead);
  watch.parts_sent = 0;
  watch.SendPeriodically(next.ends.back(), endless, 20);
  watch.Until([&] { return watch.scopes.size() == 3; });
  CHECK(watch.parts_sent <= 50);  // 25 expected; 80 with the limit after two unfinished lists
}

// Versions only increase: a discovery server that sends a lower one has lost its state, so its changes are
// not complete.
TEST_CASE("watch: an update with a lower version leads to a request for the full list") {
  WatchFixture watch(20000, 41);
  End& first = watch.Answer(kWatchHead + HttpChunk(ListJson(42, true, {"a", "b"})));
  watch.Until([&] { return watch.scopes.size() == 1; });
  first.Say(HttpChunk(ListJson(5, false, {"c"})));
  watch.Until([&] { return watch.scopes.size() == 3; });
  CHECK(watch.scopes == std::vector<Scope>{Scope::kFull, Scope::kDelta, Scope::kFailed});
  CHECK(watch.Names() == "a b c ");  // the update itself is applied
  watch.discovery_watch->StartWatch();
  watch.Answer(kWatchHead + HttpChunk(ListJson(5, true, {"c"})), 2);
  CHECK(watch.discovery.ends.back().got.find("from=0 ") != std::string::npos);
  watch.Until([&] { return watch.scopes.size() == 4; });
  CHECK(watch.Names() == "c ");
  CHECK(watch.discovery_watch->index() == 5);
  watch.discovery.ends.back().Say(HttpChunk(ListJson(5, false, {"d"})) +
                                  HttpChunk(ListJson(6, false, {"e"})));
  watch.Until([&] { return watch.scopes.size() == 6; });
  CHECK(watch.Names() == "c d e ");  // an equal version is accepted
}

TEST_CASE("watch: a full list on an established watch replaces the list held, at any version") {
  WatchFixture watch(20000, 41);
  End& end = watch.Answer(kWatchHead + HttpChunk(ListJson(42, false, {"a"})) +
                          HttpChunk(ListJson(43, true, {"b", "c"}, 2)));
  watch.Until([&] { return watch.scopes.size() == 2; });
  CHECK(watch.Names() == "b c ");
  end.Say(HttpChunk(DeletionJson(44, "c")) + HttpChunk(ListJson(3, true, {"x"})) +
          HttpChunk(ListJson(4, false, {"y"}, 4)));
  watch.Until([&] { return watch.scopes.size() == 5; });
  CHECK(watch.Names() == "x y ");
  CHECK(watch.discovery_watch->index() == 4);
  CHECK(watch.counters.watch_failures == 0);
}

TEST_CASE("watch: of two lists in one read the first is applied even if the second is malformed") {
  for (const std::string malformed :
       {R"({"index":9})", R"({"index":"9","endpoints":[]})", R"({"endpoints":[]})",
        R"({"index":9,"endpoints":{}})", R"({"index":9,"endpoints":[7]})",
        R"({"index":9,"endpoints":[{"name":"z","status":"SERVING"}]})",
        R"({"index":9,"endpoints":[{"name":"z","address":"x","status":"SERVING"}]})",
        R"({"index":9,"endpoints":[{"name":"z","address":"1.2.3.4:5","status":"UP"}]})",
        R"({"index":9,"snapshot":"yes","endpoints":[]})", R"({"index":9,"endpoints":[})", R"({index})"}) {
    CAPTURE(malformed);
    WatchFixture watch;
    watch.Answer(kWatchHead + HttpChunk(ListJson(8, true, {"a"}) + "\n" + malformed + "\n"));
    watch.Until([&] { return watch.scopes.size() == 2; });
    CHECK(watch.scopes == std::vector<Scope>{Scope::kFull, Scope::kFailed});
    CHECK(watch.Names() == "a ");
    CHECK(watch.discovery_watch->index() == 8);
    watch.discovery_watch->StartWatch();
    watch.Answer(kWatchHead + HttpChunk(ListJson(9, false, {"b"})), 2);
    CHECK(watch.discovery.ends.back().got.find("from=8 ") != std::string::npos);
    watch.Until([&] { return watch.scopes.size() == 3; });
    CHECK(watch.Names() == "a b ");
  }
}

// ---- Changes of a router's discovery address ------------------------------------------------------

// A router, two servers, and two discovery servers to switch between.
class ChangeFixture : public Stage {
 public:
  ChangeFixture() : Stage(Says(Value("old"))), next(base.get()), other(base.get(), Says(Value("new"))) {}

  void MoveTo(int port) {
    Config config = Configured();
    config.discovery = "127.0.0.1:" + std::to_string(port);
    router.Reload([&] { return config; });
  }
  // A list with one server serving and the other draining.
  std::string ListWithDraining(int index, bool snapshot, bool old) const {
    std::string drained = Member("box-1", member.port), serving = Member("box-2", other.port);
    if (!old) std::swap(drained, serving);
    drained.replace(drained.find("SERVING"), 7, "DRAINING");
    return Chunk(R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" + (snapshot ? "true" : "false") +
                 R"(,"endpoints":[)" + drained + "," + serving + "]}");
  }
  // Waits until `peer` has received `count` watches from version `from`, and answers the last.
  End& Answer(Peer& peer, std::size_t count, const std::string& from, const std::string& text) {
    Until([&] { return peer.Count("watch=1&from=" + from + " ") == count; });
    peer.ends.back().Say(text);
    return peer.ends.back();
  }
  void WaitForChanges(std::uint64_t count) {
    Until([&] { return router.counters().server_list_changes == count; });
  }
  void Sleep(std::chrono::milliseconds time) {
    auto from = steady_clock::now();
    Until([&] { return steady_clock::now() - from > time; });
  }
  std::string Read() { return Ask(Get(kKey, "c=read,d=1900")); }

  Peer next, other;
};

constexpr std::chrono::milliseconds kMaxFirstPause{600};
// From when an update is available until it must be applied.
constexpr std::chrono::seconds kMaxUpdateDelay{6};

TEST_CASE("reload: updates from the old discovery server after the change are ignored") {
  ChangeFixture stage;
  End& old = stage.Watched({R"({"index":70,"snapshot":false,"endpoints":[]})"});
  stage.WaitForChanges(1);
  stage.MoveTo(stage.next.port);
  old.Say(stage.ListWithDraining(71, false, true));  // in flight during the change
  stage.Answer(stage.next, 1, "0", kWatchHead + stage.ListWithDraining(3, true, false));
  stage.WaitForChanges(2);
  stage.Until([&] { return old.closed; });
  CHECK(stage.Read() == "$3\r\nold\r\n");
  stage.next.ends.back().Say(stage.ListWithDraining(4, false, true));  // sent right after the change
  stage.WaitForChanges(3);
  CHECK(stage.Read() == "$3\r\nnew\r\n");
}

TEST_CASE("reload: a failing new discovery server is retried while the list held stays in use") {
  for (const std::string failure :
       {"", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "nonsense\r\n\r\n"}) {
    CAPTURE(failure);
    ChangeFixture stage;
    stage.Watched({R"({"index":70,"snapshot":false,"endpoints":[]})"});
    stage.WaitForChanges(1);
    stage.MoveTo(stage.next.port);
    for (std::size_t call : {1, 2}) {
      End& end = stage.Answer(stage.next, call, "0", failure);
      if (failure.empty()) end.Hang();
      CHECK(stage.Read() == "$3\r\nold\r\n");
    }
    stage.Answer(stage.next, 3, "0", kWatchHead + stage.ListWithDraining(3, true, true));
    stage.WaitForChanges(2);
    CHECK(stage.Read() == "$3\r\nnew\r\n");
  }
}

TEST_CASE("reload: to a discovery server that refuses connections, and back") {
  ChangeFixture stage;
  stage.Watched({R"({"index":70,"snapshot":false,"endpoints":[]})"});
  stage.WaitForChanges(1);
  stage.next.Refuse();
  stage.MoveTo(stage.next.port);
  stage.Until([&] { return stage.router.counters().watch_failures >= 2; });
  stage.MoveTo(stage.discovery.port);
  stage.Answer(stage.discovery, 1, "0", kWatchHead + stage.ListWithDraining(71, true, true));
  stage.WaitForChanges(2);
  CHECK(stage.Read() == "$3\r\nnew\r\n");
}

TEST_CASE("reload: of two changes the last address counts; an unchanged address keeps the watch") {
  ChangeFixture stage;
  Peer last(stage.base.get());
  End& old = stage.Watched({R"({"index":70,"snapshot":false,"endpoints":[]})"});
  stage.WaitForChanges(1);
  stage.MoveTo(stage.next.port);
  stage.MoveTo(last.port);
  stage.MoveTo(last.port);
  stage.Answer(last, 1, "0", kWatchHead + stage.ListWithDraining(2, true, true));
  stage.WaitForChanges(2);
  CHECK(stage.Read() == "$3\r\nnew\r\n");
  stage.Until([&] { return old.closed; });
  stage.MoveTo(last.port);
  stage.Sleep(kMaxFirstPause);
  CHECK(last.ends.size() == 1);
  CHECK(!last.ends.back().closed);
  for (End& end : stage.next.ends) CHECK(end.closed);
}

// The sum of the silence timeout, the balancer's pauses and one rejected watch, with the default tuning.
TEST_CASE("updates missed by a silent watch arrive in time, even if the next watch is rejected") {
  ChangeFixture stage;
  stage.Watched({R"({"index":70,"snapshot":false,"endpoints":[]})"});
  stage.WaitForChanges(1);
  auto silent_from = steady_clock::now();
  stage.Answer(stage.discovery, 1, "70", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  stage.Answer(stage.discovery, 2, "70", kWatchHead + stage.ListWithDraining(71, false, true));
  stage.WaitForChanges(2);
  CHECK(stage.Read() == "$3\r\nnew\r\n");
  CHECK(steady_clock::now() - silent_from < kMaxUpdateDelay);
}

// The balancer's pause after a failure of the old discovery server continues during the change. The retry due
// at its end is no longer needed, and must not replace the watch that waits at the new server.
TEST_CASE("reload: a pending retry does not replace the watch at the new discovery server") {
  ChangeFixture stage;
  End& old = stage.Watched({R"({"index":70,"snapshot":false,"endpoints":[]})"});
  stage.WaitForChanges(1);
  old.Hang();
  stage.Until([&] { return stage.router.counters().watch_failures == 1; });
  stage.MoveTo(stage.next.port);
  stage.Until([&] { return stage.next.Count("from=0 ") == 1; });
  stage.Sleep(kMaxFirstPause + std::chrono::milliseconds(100));
  CHECK(stage.next.ends.size() == 1);
  CHECK(!stage.next.ends.back().closed);
  stage.Answer(stage.next, 1, "0", kWatchHead + stage.ListWithDraining(3, true, true));
  stage.WaitForChanges(2);
  CHECK(stage.Read() == "$3\r\nnew\r\n");
}

TEST_CASE("a malformed list leaves the last valid one in use, and is requested again") {
  ChangeFixture stage;
  stage.Answer(stage.discovery, 1, "41", kWatchHead + stage.ListWithDraining(42, false, true));
  stage.WaitForChanges(1);
  stage.discovery.ends.back().Say(Chunk(R"({"index":43,"endpoints":"none"})"));
  stage.Until([&] { return stage.router.counters().watch_failures == 1; });
  CHECK(stage.Read() == "$3\r\nnew\r\n");
  stage.Answer(stage.discovery, 1, "42", kWatchHead + stage.ListWithDraining(43, false, false));
  stage.WaitForChanges(2);
  CHECK(stage.Read() == "$3\r\nold\r\n");
}

}  // namespace
}  // namespace peatbend::net::test
