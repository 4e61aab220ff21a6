// A server that writes an answer again, late: the second copy is given to no other request.
#include "net/rules_stage.h"
#include "net/stage.h"

namespace peatbend::net::test {
namespace {

const std::string kFacts = "c=read,t=acme,d=1900";

End* HolderOf(Stage& stage, const std::string& key) { return stage.member.Receiver("\r\n" + key + "\r\n"); }

// A command of this key, once the server has it.
End& Sent(Stage& stage, const std::string& key, const std::string& text) {
  End& client = stage.Client(text);
  stage.Until([&] { return HolderOf(stage, key) != nullptr; });
  return client;
}

// A read that the server answers, and whose connection rests.
End& Answered(Stage& stage, const std::string& key, const std::string& answer) {
  Sent(stage, key, Get(key, kFacts));
  End& server = *HolderOf(stage, key);
  server.Say(answer);
  stage.Until([&] { return stage.clients.back().got.ends_with("\r\n"); });
  stage.Rest();
  return server;
}

// What was not taken from the server is asked for at the origin.
void AnswerFromOrigin(Stage& stage, const std::string& key, const std::string& value) {
  stage.Until([&] { return stage.origin.Receiver("GET /" + key) != nullptr; });
  stage.origin.Receiver("GET /" + key)
      ->Say("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(value.size()) + "\r\n\r\n" + value);
}

// The second copy comes while the connection, long rested, carries the next request, before its answer.
TEST_CASE(
    "said twice: a copy of an answer that comes when its connection is in use again is served to nobody") {
  Stage stage;
  End& server = Answered(stage, "1000", Value("one"));
  End& second = Sent(stage, "2000", Get("2000", kFacts));
  REQUIRE(HolderOf(stage, "2000") == &server);
  server.Say(Value("one"));
  AnswerFromOrigin(stage, "2000", "two");
  stage.Until([&] { return second.got.ends_with("\r\n"); });
  CHECK(second.got == "$3\r\ntwo\r\n");
}

TEST_CASE("said twice: the same value for the same key is served on the same connection") {
  Stage stage;
  End& server = Answered(stage, "1000", Value("same"));
  End& second = stage.Client(Get("1000", kFacts));
  stage.Until([&] { return server.got.find("1000", server.got.find("OBJ.GET", 20)) != std::string::npos; });
  server.Say(Value("same"));
  stage.Until([&] { return second.got == "$4\r\nsame\r\n"; });
  CHECK(stage.router.counters().answers_dropped == 0);
  CHECK(stage.member.ends.size() == 1);
}

TEST_CASE("said twice: a server whose answers repeat gets one request a connection, dialled ahead") {
  Stage stage;
  End& server = Answered(stage, "1000", Value("same"));
  End& second = Sent(stage, "2000", Get("2000", kFacts));
  server.Say(Value("same"));
  AnswerFromOrigin(stage, "2000", "same");
  stage.Until([&] { return second.got == "$4\r\nsame\r\n"; });
  CHECK(stage.router.counters().answers_dropped == 1);
  Answered(stage, "3000", Value("same"));
  stage.Until([&] { return stage.member.ends.size() == 3; });  // the spare
  Answered(stage, "4000", Value("same"));
  CHECK(HolderOf(stage, "4000") != HolderOf(stage, "3000"));
  CHECK(stage.router.counters().reused == 2);  // the second request, and the spare
}

TEST_CASE("said twice: of two large values of one length on a connection the second is asked for again") {
  const std::string value(100000, 'a');
  const std::string tail = "\r\n$3\r\nhit\r\n$-1\r\n", open = "*3\r\n$100000\r\n";
  Stage stage;
  End& server = Answered(stage, "1000", open + value + tail);
  End& second = Sent(stage, "2000", Get("2000", kFacts));
  REQUIRE(HolderOf(stage, "2000") == &server);
  server.Say(open + value + tail);
  AnswerFromOrigin(stage, "2000", "other");
  stage.Until([&] { return second.got.ends_with("\r\n"); });
  CHECK(second.got == Bulk("other"));
}

// Guards against descriptors that fill with connections which no write may use again.
TEST_CASE("said twice: a connection is not kept after a write where the server's receipts are alike") {
  Stage stage({}, Stage::Says("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
  for (const char* key : {"1000", "2000", "3000", "4000"}) {
    CHECK(stage.Ask(Set(key, "c=keyed,t=acme,d=1900,k=" + std::string(key), "v")) == "$2\r\nok\r\n");
    stage.Rest();
  }
  stage.Until([&] { return std::ranges::all_of(stage.origin.ends, &End::closed); });
  CHECK(stage.router.counters().answers_dropped == 0);
}

}  // namespace
}  // namespace peatbend::net::test
