// A planned end: what a router has read it answers, and what it won't answer it leaves unread, in whatever
// order requests and closes cross. On real sockets; the orders are forced, the times are the stop's own
// limits.
#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "net/flood.h"
#include "net/raw_client.h"
#include "net/rules_stage.h"

namespace peatbend::net::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const milliseconds kKeepListening = Tuning::Stop{}.keep_listening;
const std::string kAnswered = "$1\r\nx\r\n";

// A router that was told to stop, and the time since.
struct Stopping {
  explicit Stopping(Stage& of) : stage(of) {
    stage.router.Stop([this] { ended = true; });
  }
  void RunUntil(milliseconds since_stop) {
    stage.Until([&] { return steady_clock::now() - from > since_stop; });
  }
  // Does `action` in the turn of the loop in which the router begins to close connections, just before it
  // does: the loop is held until that time is over, so that both are due in one turn, this one first.
  void JustBeforeClosing(const std::function<void()>& action) {
    bool done = false;
    Timer acts(stage.base.get(), [&] {
      action();
      done = true;
    });
    Timer holds(stage.base.get(), [&] {
      while (steady_clock::now() - from < kKeepListening + milliseconds(10)) continue;
    });
    holds.Set(kKeepListening - milliseconds(40));
    acts.Set(kKeepListening - milliseconds(20));
    stage.Until([&] { return done; });
  }

  Stage& stage;
  steady_clock::time_point from = steady_clock::now();
  bool ended = false;
};

// Guards against a close over a request that is there already: it would be reset.
TEST_CASE("stop: a request that has come when its resting connection is to be closed is served") {
  Stage stage(Stage::Says(Value("x")));
  RawClient client(stage.router.port());
  client.Send(kRead);
  stage.Until([&] { return client.Receive().got == kAnswered; });
  client.got.clear();
  Stopping stopping(stage);
  stopping.JustBeforeClosing([&] { client.Send(kRead); });
  stage.Until([&] { return client.Receive().closed; });
  CHECK(client.got == kAnswered);
  CHECK(!client.WasReset());
  stage.Until([&] { return stopping.ended; });
}

// Guards against resets of what the system had accepted and the router had not.
TEST_CASE("stop: a connection that waits in the accept queue when the listener closes is served") {
  Stage stage(Stage::Says(Value("x")));
  Stopping stopping(stage);
  std::optional<RawClient> late;
  stopping.JustBeforeClosing([&] {
    late.emplace(stage.router.port());
    late->Send(kRead);
  });
  REQUIRE(late->connected);
  stage.Until([&] { return late->Receive().closed; });
  CHECK(late->got == kAnswered);
  CHECK(!late->WasReset());
}

// Guards against a request that is taken late and has more time than the router itself.
TEST_CASE("stop: a request taken late is answered before the router ends") {
  Stage stage;
  RawClient client(stage.router.port());
  stage.Until([&] { return stage.router.counters().clients_accepted == 1; });
  Stopping stopping(stage);
  stopping.RunUntil(milliseconds(750));
  REQUIRE(client.Send(Get("2000", "c=read,d=2000")));
  stage.Until([&] { return stopping.ended; });
  CHECK(client.Receive().got.starts_with("-BUSY"));
  CHECK(!client.WasReset());
}

// Guards against commands that are read and dropped: the client could not send them again.
TEST_CASE("stop: what comes after the last call stays unread, and what was taken is answered") {
  End* member = nullptr;
  Stage stage([&](End& end) { member = &end; });
  RawClient client(stage.router.port());
  stage.Until([&] { return stage.router.counters().clients_accepted == 1; });
  Stopping stopping(stage);
  stopping.RunUntil(kKeepListening);
  client.Send(Get("1000", "c=read,d=2000"));
  stage.Until([&] { return member != nullptr; });
  stopping.RunUntil(milliseconds(2300));  // the last call has come, the request's time is not over
  client.Send(Get("2000", "c=read,d=2000"));
  stage.Rest();
  member->Say(Value("one"));
  stage.Until([&] { return client.Receive().closed; });
  CHECK(client.got == "$3\r\none\r\n");
  stage.Until([&] { return stage.router.counters().clients_closed == 1; });
  CHECK(client.WasReset());  // unread: the client may send it again
  CHECK(stage.router.counters().requests == 1);
}

// Guards against the same of commands that were read and wait behind the bound of answers owed.
TEST_CASE("stop: commands read beyond the bound of a pipe are answered too") {
  const int sent = 136;
  REQUIRE(sent > Tuning::Clients{}.owed);
  REQUIRE(FloodOf(sent).size() <= 2 * 4096);  // read in two pieces, the second before the bound is seen
  bool answers = false;
  Stage stage([&](End& end) {
    if (answers) AnswerWithKey(end);
  });
  RawClient client(stage.router.port());
  stage.Until([&] { return stage.router.counters().clients_accepted == 1; });
  Stopping stopping(stage);
  stopping.RunUntil(kKeepListening);
  client.Send(FloodOf(sent));
  stopping.RunUntil(milliseconds(2300));  // the last call has come, the requests' time is not over
  answers = true;
  for (End& end : stage.member.ends) AnswerWithKey(end);
  stage.Until([&] { return client.Receive().closed; });
  CHECK(AnswersInOrder(client.got) == sent);
  CHECK(!client.WasReset());
}

// Guards against an answer that the system still holds back and a close gives up: a request that crosses the
// close of its connection resets it.
TEST_CASE("stop: an answer that its client takes slowly is whole though a request crosses the close") {
  const std::string value(60000, 'v');
  Stage stage(Stage::Says(Value(value)));
  RawClient client(stage.router.port(), 4096);
  client.Send(kRead);
  stage.Until([&] { return stage.router.counters().Sum(&Counters::PerClass::served) == 1; });
  Stopping stopping(stage);
  stopping.RunUntil(kKeepListening + milliseconds(20));
  client.Send(Get("2000", "c=read,d=2000"));
  stage.Rest();
  stage.Until([&] { return client.Receive().closed; });
  CHECK(client.got.size() == Bulk(value).size());
  CHECK(client.got.starts_with(Bulk(value)));
  CHECK(stage.router.counters().requests == 1);
}

TEST_CASE("stop: a half command that becomes whole in time is served, one that doesn't disturbs nobody") {
  Stage stage(Stage::Says(Value("x")));
  RawClient in_time(stage.router.port()), never(stage.router.port());
  in_time.Send(kRead.substr(0, 30));
  never.Send(kRead.substr(0, 30));
  stage.Until([&] { return stage.router.counters().clients_accepted == 2; });
  Stopping stopping(stage);
  stopping.RunUntil(kKeepListening + milliseconds(300));
  in_time.Send(kRead.substr(30));
  stage.Until([&] { return in_time.Receive().closed && never.Receive().closed; });
  CHECK(in_time.got == kAnswered);
  CHECK(!in_time.WasReset());
  CHECK((never.got.empty() || never.got.starts_with("-ERR ")));
  stage.Until([&] { return stopping.ended; });
}

TEST_CASE("stop: told twice, and to reload in between, it ends once") {
  Stage stage(Stage::Says(Value("x")));
  int ended = 0;
  stage.router.Stop([&] { ++ended; });
  stage.router.Reload([&] { return stage.Configured(); });
  stage.router.Stop([&] { ended += 100; });
  CHECK(stage.Ask(kRead) == kAnswered);
  stage.Until([&] { return ended > 0; });
  stage.Rest();
  CHECK(ended == 1);
  CHECK(stage.router.counters().reloads == 0);
}

}  // namespace
}  // namespace peatbend::net::test
