// A planned end while large values are under way: it waits for them, and for nobody without end.
#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "base/value_bounds.h"
#include "net/raw_client.h"
#include "net/slow_client.h"
#include "net/successor_peer.h"

namespace peatbend::net::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kDelivered = 128 * 1024;  // bytes of a large value
constexpr milliseconds kListening{50}, kDeadline{1000}, kSlack{20};
constexpr milliseconds kRequestsOver = kListening + kDeadline + kSlack;  // after the signal

void ShortTimes(Config& config) {
  config.tuning.stop.keep_listening = kListening;
  config.tuning.stop.slack = kSlack;
  for (ClassSettings& cls : config.settings.classes) cls.deadline = kDeadline;
}

// A router with large values under way, of which their servers have given half.
struct ValuesUnderWay {
  ValuesUnderWay(int count, const std::string& door = "")
      : stage([this](End& end) { end.Say(answer.substr(0, answer.size() / 2)); }, {}, "", 1024, 192, door,
              ShortTimes) {
    for (int i = 0; i < count; ++i)
      clients.push_back(&stage.Client(Get(std::to_string(1000 + i), "c=read,d=990")));
    stage.Until([&] {
      return std::ranges::all_of(clients, [](End* client) { return client->got.size() > kDelivered / 4; });
    });
  }
  void Stop() {
    stopped_at = steady_clock::now();
    stage.router.Stop([this] { ended = true; });
  }
  void RunFor(milliseconds time) {
    auto from = steady_clock::now();
    stage.Until([&] { return steady_clock::now() - from > time; });
  }
  void GiveTheRest() {
    for (End& end : stage.member.ends) {
      if (!end.closed) end.Say(answer.substr(answer.size() / 2));
    }
  }
  bool AllWhole() const {
    return std::ranges::all_of(clients, [this](End* client) { return client->got == Bulk(value); });
  }

  const std::string value = Large(kDelivered);
  const std::string answer = Value(value);
  Stage stage;
  std::vector<End*> clients;
  steady_clock::time_point stopped_at;
  bool ended = false;
};

// Guards against a stop that ends when the requests' time is over, and cuts values that servers still give.
TEST_CASE("stop: large values that outlast the requests' time are delivered whole, and then it ends") {
  for (int count : {1, 8}) {
    INFO(count, " values");
    ValuesUnderWay values(count);
    values.Stop();
    values.RunFor(kRequestsOver + milliseconds(300));
    CHECK(!values.ended);
    values.GiveTheRest();
    values.stage.Until([&] { return values.ended && values.AllWhole(); });
    CHECK(values.stage.router.counters().values_cut == 0);
    // The work has ended, and so does the router: not when a bound is over.
    CHECK(steady_clock::now() - values.stopped_at < kRequestsOver + milliseconds(300) + kValueStall);
  }
}

// Guards against the same where another process has taken over.
TEST_CASE("stop: in an upgrade too, large values under way are delivered whole, and the old process ends") {
  Folder folder;
  ValuesUnderWay values(3, folder.Door());
  SuccessorPeer successor(values.stage, folder.Door());
  successor.Ready();
  values.Stop();
  values.RunFor(kRequestsOver + milliseconds(300));
  CHECK(!values.ended);
  values.GiveTheRest();
  values.stage.Until([&] { return values.ended && values.AllWhole(); });
  int moved = 0;
  while (successor.Next()) moved += successor.packet.type() == "client" ? 1 : 0;
  CHECK(moved == 3);
}

// Guards against a stop without end: servers that give no more, and clients that take nothing.
TEST_CASE(
    "stop: a server that gives no more of a value, and a client that takes nothing, hold it up for a bounded "
    "time") {
  ValuesUnderWay values(1);
  HoldLittleUnsent(values.stage.router.port());
  RawClient deaf(values.stage.router.port(), 4096);
  deaf.Send(Get("2000", "c=read,d=990"));
  values.stage.Until([&] { return values.stage.member.ends.size() == 2; });
  values.stage.member.ends.back().Say(values.answer.substr(values.answer.size() / 2));
  values.stage.Rest();
  values.Stop();
  constexpr milliseconds kNoise{1000};
  values.stage.Until([&] { return values.ended; });
  auto took = steady_clock::now() - values.stopped_at;
  CHECK(took < kRequestsOver + kValueStall + TimeAtLeastRate(kDelivered) + kNoise);
  CHECK(took > kRequestsOver);
}

}  // namespace
}  // namespace peatbend::net::test
