// The real stages under all orders of a few events, against scripted peers on loopback: a read and a write
// that may not be repeated, an answer, a drain, a client that leaves, a stop.
#include <chrono>

#include "net/stage.h"
#include "orders/interleavings.h"

namespace peatbend::net::test {
namespace {

const std::string kFrom = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfrom";

class Sockets : public Stage {
 public:
  Sockets() : Stage([this](End& end) { Came(end, Value("x")); }, [this](End& end) { Came(end, kFrom); }) {
    watch_ = &Watched();
  }

  void Ask() { reader_ = &Asks(Get(kKey, "c=read,d=1900")); }
  void Write() { writer_ = &Asks(Set("000000000000ab12", "c=unsafe,d=1900", "v")); }
  void Answer() {
    answers_ = true;
    for (auto& [end, text] : std::exchange(waiting_, {})) end->Say(text);
    for (End* client : {reader_, writer_}) {
      if (client != nullptr && !client->hung()) Until([&] { return client->got.ends_with("\r\n"); });
    }
  }
  void Drain() {
    std::string entry = Member("box-1", member.port);
    entry.replace(entry.find("SERVING"), 7, "DRAINING");
    watch_->Say(Chunk(R"({"index":42,"snapshot":false,"endpoints":[)" + entry + "]}"));
    Until([&] { return router.counters().server_list_changes == 1; });
    until_told_ = Attempts();
  }
  void Leave() {
    if (reader_ == nullptr) return;
    reader_->Hang();
    Until([&] { return router.counters().clients_closed == 1; });
  }
  void Stops() {
    router.Stop([] {});
  }

  // One final answer to each that did not leave, no second effect, nothing new to a draining member.
  void Check() {
    std::size_t writes = origin.Count("PUT /");
    CHECK(writes <= (writer_ == nullptr ? 0 : 1));
    if (until_told_) CHECK(Attempts() == *until_told_);
    for (End* client : {reader_, writer_}) {
      if (client == nullptr || client->hung()) continue;
      bool none = client->got.empty() && !client->closed,
           one = client->got == "$1\r\nx\r\n" || client->got == "$4\r\nfrom\r\n";
      CHECK((none || one));
    }
  }
  void Finish() {
    Answer();
    Check();
    for (End* client : {reader_, writer_})
      CHECK((client == nullptr || client->hung() || !client->got.empty()));
  }

 private:
  void Came(End& end, const std::string& answer) {
    if (!end.got.ends_with("\r\n") && !end.got.ends_with("v")) return;
    if (answers_) return end.Say(answer);
    waiting_.emplace_back(&end, answer);
  }
  std::size_t Attempts() const { return member.Count("OBJ.GET"); }
  End& Asks(const std::string& text) {
    std::uint64_t before = router.counters().dispatches;
    End& client = Client(text);
    Until([&] { return router.counters().dispatches > before; });
    return client;
  }

  End *watch_ = nullptr, *reader_ = nullptr, *writer_ = nullptr;
  bool answers_ = false;
  std::vector<std::pair<End*, std::string>> waiting_;
  std::optional<std::size_t> until_told_;
};

TEST_CASE("orders: on sockets each request has its one answer, and no rule is broken") {
  std::vector<orders::NamedEvent<Sockets>> events = {
      {"ask", &Sockets::Ask},     {"write", &Sockets::Write},         {"answer", &Sockets::Answer},
      {"drain", &Sockets::Drain}, {"client leaves", &Sockets::Leave}, {"stop", &Sockets::Stops}};
  auto from = std::chrono::steady_clock::now();
  std::size_t count = orders::ForEachPermutation(events, [](const auto& order) {
    INFO(orders::EventNames(order));
    Sockets play;
    for (const auto& event : order) {
      event.apply(play);
      play.Check();
    }
    play.Finish();
  });
  std::chrono::duration<double> took = std::chrono::steady_clock::now() - from;
  MESSAGE(count, " orders, ", took.count(), " s");
}

}  // namespace
}  // namespace peatbend::net::test
