// The network stages under all interleavings of a few events, with scripted peers on loopback: a read, an
// unsafe write, an answer, a drain, a client that leaves and a stop.
#include <chrono>

#include "net/stage.h"
#include "orders/interleavings.h"

namespace peatbend::net::test {
namespace {

const std::string kHttpResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfrom";

class SocketStage : public Stage {
 public:
  SocketStage()
      : Stage([this](End& end) { OnReceived(end, Value("x")); },
              [this](End& end) { OnReceived(end, kHttpResponse); }) {
    watch_ = &Watched();
  }

  void Read() { reader_ = &SendAndAwaitDispatch(Get(kKey, "c=read,d=1900")); }
  void Write() { writer_ = &SendAndAwaitDispatch(Set("000000000000ab12", "c=unsafe,d=1900", "v")); }
  void Answer() {
    answering_ = true;
    for (auto& [end, text] : std::exchange(unanswered_, {})) end->Say(text);
    for (End* client : {reader_, writer_}) {
      if (client != nullptr && !client->hung()) Until([&] { return client->got.ends_with("\r\n"); });
    }
  }
  void Drain() {
    std::string entry = Member("box-1", member.port);
    entry.replace(entry.find("SERVING"), 7, "DRAINING");
    watch_->Say(Chunk(R"({"index":42,"snapshot":false,"endpoints":[)" + entry + "]}"));
    Until([&] { return router.counters().server_list_changes == 1; });
    attempts_at_drain_ = Attempts();
  }
  void Leave() {
    if (reader_ == nullptr) return;
    reader_->Hang();
    Until([&] { return router.counters().clients_closed == 1; });
  }
  void StopRouter() {
    router.Stop([] {});
  }

  // At most one answer to each client, at most one execution of the write, and no new attempt at a draining
  // member.
  void Check() {
    std::size_t writes = origin.Count("PUT /");
    CHECK(writes <= (writer_ == nullptr ? 0 : 1));
    if (attempts_at_drain_) CHECK(Attempts() == *attempts_at_drain_);
    for (End* client : {reader_, writer_}) {
      if (client == nullptr || client->hung()) continue;
      bool unanswered = client->got.empty() && !client->closed,
           answered = client->got == "$1\r\nx\r\n" || client->got == "$4\r\nfrom\r\n";
      CHECK((unanswered || answered));
    }
  }
  void Finish() {
    Answer();
    Check();
    for (End* client : {reader_, writer_})
      CHECK((client == nullptr || client->hung() || !client->got.empty()));
  }

 private:
  void OnReceived(End& end, const std::string& answer) {
    if (!end.got.ends_with("\r\n") && !end.got.ends_with("v")) return;
    if (answering_) return end.Say(answer);
    unanswered_.emplace_back(&end, answer);
  }
  std::size_t Attempts() const { return member.Count("OBJ.GET"); }
  End& SendAndAwaitDispatch(const std::string& text) {
    std::uint64_t before = router.counters().dispatches;
    End& client = Client(text);
    Until([&] { return router.counters().dispatches > before; });
    return client;
  }

  End *watch_ = nullptr, *reader_ = nullptr, *writer_ = nullptr;
  bool answering_ = false;
  std::vector<std::pair<End*, std::string>> unanswered_;
  std::optional<std::size_t> attempts_at_drain_;
};

TEST_CASE("orders: on sockets each request gets one answer, and no rule is violated") {
  std::vector<orders::NamedEvent<SocketStage>> events = {{"ask", &SocketStage::Read},
                                                         {"write", &SocketStage::Write},
                                                         {"answer", &SocketStage::Answer},
                                                         {"drain", &SocketStage::Drain},
                                                         {"client leaves", &SocketStage::Leave},
                                                         {"stop", &SocketStage::StopRouter}};
  auto from = std::chrono::steady_clock::now();
  std::size_t count = orders::ForEachPermutation(events, [](const auto& order) {
    INFO(orders::EventNames(order));
    SocketStage stage;
    for (const auto& event : order) {
      event.apply(stage);
      stage.Check();
    }
    stage.Finish();
  });
  std::chrono::duration<double> took = std::chrono::steady_clock::now() - from;
  MESSAGE(count, " orders, ", took.count(), " s");
}

}  // namespace
}  // namespace peatbend::net::test
