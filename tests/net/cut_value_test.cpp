// Large values that break off on their way, and what becomes of the other requests of their connections.
#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "net/raw_client.h"
#include "net/slow_client.h"
#include "net/stage.h"
#include "net/successor_peer.h"

namespace peatbend::net::test {
namespace {

constexpr std::size_t kLength = 256 * 1024;  // of a large value, in bytes
const std::string kLargeKey = "00000000000000ff";
const std::string kLongKey = "0000000000000011";    // of a value that is not large, of 60,000 bytes
const std::string kSilentKey = "000000000000dead";  // of which no answer comes
const std::string kLargeGet = Get(kLargeKey, "c=read," + kAmpleTime);
const std::string kShortLargeGet = Get(kLargeKey, "c=read,d=1900");  // of a client that waits for 1.9 s
const std::string kLargeValue = Large(kLength);
const std::string kReceipt = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string kOpening = "*3\r\n$" + std::to_string(kLength) + "\r\n";

// Guards against a connection that is closed over answers which its client has not taken: a whole answer
// before the cut value was lost.
TEST_CASE("cut value: an answer before it reaches a slow client whole, and what comes later stays unread") {
  const std::string value(60000, 'v');
  const std::string small_key = "0000000000000011";
  Stage stage([&](End& end) {
    bool large = end.got.find(kLargeKey) != std::string::npos;
    end.Say(large ? kOpening + "begins" : Value(value));
  });
  HoldLittleUnsent(stage.router.port());
  RawClient client(stage.router.port(), 4096);
  client.Send(Get(small_key, "c=read,d=1900") + kLargeGet);
  const Counters& counters = stage.router.counters();
  const std::string opens = "$" + std::to_string(kLength) + "\r\nbegins";
  stage.Until(
      [&] { return stage.router.memory().in_use > opens.size() && stage.member.Receiver(kLargeKey); });
  stage.Until([&] { return counters.Sum(&Counters::PerClass::served) == 1; });
  stage.Rest();
  REQUIRE(stage.router.memory().in_use >
          opens.size());  // something of the answer before is not with the system
  stage.member.Receiver(kLargeKey)->Hang();
  stage.Until([&] { return counters.values_cut == 1; });
  client.Send(Get("2000", "c=read,d=1900"));
  stage.Until([&] { return client.Receive().closed; });
  bool same = client.got == Bulk(value) + opens;
  CHECK(same);
  CHECK(counters.requests == 2);
}

enum class Framing { kResp, kHttpLength, kHttpChunked };
enum class CutAt { kFirstByte, kMiddle, kLastByte };
enum class CutBy { kReset, kClose };

std::string Framed(Framing framing) {
  if (framing == Framing::kResp) return Value(kLargeValue);
  const std::string head = "HTTP/1.1 200 OK\r\n";
  if (framing == Framing::kHttpLength)
    return head + "Content-Length: " + std::to_string(kLength) + "\r\n\r\n" + kLargeValue;
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", kLength);
  return head + "Transfer-Encoding: chunked\r\n\r\n" + size + kLargeValue + "\r\n0\r\n\r\n";
}

std::string Before(CutAt at, const std::string& answer) {
  if (at == CutAt::kFirstByte) return answer.substr(0, answer.find(kLargeValue.substr(0, 100)) + 1);
  return answer.substr(0, at == CutAt::kMiddle ? answer.size() / 2 : answer.size() - 1);
}

// The key of a command: its second word.
std::string KeyIn(const std::string& command) {
  std::size_t at = command.find("\r\n", command.find("OBJ.GET\r\n") + 9) + 2;
  return command.substr(at, command.find("\r\n", at) - at);
}

// A cache server and an origin that answer all, but for the first answer with the large value: that is begun.
class CuttingServers {
 public:
  CuttingServers(Framing framing, std::string first, int memory_mb = 192, const std::string& door = "")
      : framing_(framing),
        first_(std::move(first)),
        stage([this](End& end) { OnMember(end); }, [this](End& end) { OnOrigin(end); }, "", 1024, memory_mb,
              door, GiveAmpleTime) {}

 private:
  void OnMember(End& end) {
    if (!end.got.ends_with("\r\n")) return;
    const std::string got = std::exchange(end.got, {});
    if (got.find(kLongKey) != std::string::npos) return end.Say(Value(KeyIn(got) + std::string(60000, 'v')));
    if (got.find(kSilentKey) != std::string::npos) return;
    if (got.find(kLargeKey) == std::string::npos) return end.Say(Value("small" + KeyIn(got)));
    framing_ == Framing::kResp ? SayLarge(end, Framing::kResp) : end.Say(kMiss);
  }
  void OnOrigin(End& end) {
    bool large = end.got.find(kLargeKey) != std::string::npos;
    if (end.got.starts_with("PUT ") ? !end.got.ends_with("offer") : !end.got.ends_with("\r\n\r\n")) return;
    end.got.clear();
    if (!large) return end.Say(kReceipt);
    SayLarge(end, framing_ == Framing::kResp ? Framing::kHttpLength : framing_);
  }
  void SayLarge(End& end, Framing framing) {
    bool first = std::exchange(holder, &end) == nullptr;
    end.Say(first ? first_ : Framed(framing));
  }
  Framing framing_;
  std::string first_;

 public:
  Stage stage;
  End* holder = nullptr;  // the connection of the last answer with the large value
};

// `count` commands, writes and reads in turn, and their answers.
std::string CommandsBehind(int count) {
  std::string text;
  for (int i = 0; i < count; ++i) {
    std::string key = std::to_string(10000 + i);
    text += i % 2 == 0 ? Set(key, "c=keyed," + kAmpleTime + ",k=" + key, "offer")
                       : Get(key, "c=read," + kAmpleTime);
  }
  return text;
}
std::string AnswersBehind(int count) {
  std::string text;
  for (int i = 0; i < count; ++i) text += Bulk(i % 2 == 0 ? "ok" : "small" + std::to_string(10000 + i));
  return text;
}

// The client gets the large value and the answers behind it, all whole.
void CheckAnswered(Stage& stage, const End& client, int behind) {
  const std::string answers = Bulk(kLargeValue) + AnswersBehind(behind);
  stage.Until([&] { return client.got.size() >= answers.size() || client.closed; });
  bool same = client.got == answers;
  CHECK(same);
  CHECK(stage.router.counters().values_cut == 0);
  CHECK(stage.router.counters().requests_behind_cut == 0);
}

void CutBefore(CuttingServers& servers, CutBy by, int behind) {
  Stage& stage = servers.stage;
  End& client = stage.Client(kLargeGet + CommandsBehind(behind));
  stage.Until([&] { return servers.holder != nullptr && servers.holder->said_all(); });
  stage.Rest();
  by == CutBy::kReset ? servers.holder->Reset() : servers.holder->Hang();
  CheckAnswered(stage, client, behind);
}

// Guards against requests that were sent on behind a large value and got no answer, as the value broke off
// and the connection had to end.
TEST_CASE("cut value: what was sent on behind it is answered, and the value is asked for again") {
  for (Framing framing : {Framing::kResp, Framing::kHttpLength, Framing::kHttpChunked}) {
    for (CutAt at : {CutAt::kFirstByte, CutAt::kMiddle, CutAt::kLastByte}) {
      for (CutBy by : {CutBy::kReset, CutBy::kClose}) {
        for (int behind : {1, 8, 127, 128}) {
          INFO("framing ", static_cast<int>(framing), ", cut at ", static_cast<int>(at), " by ",
               static_cast<int>(by), ", behind ", behind);
          CuttingServers servers(framing, Before(at, Framed(framing)));
          CutBefore(servers, by, behind);
        }
      }
    }
  }
}

// Guards against a value that is passed on at once when it is next, as its own time had run while answers
// before it were owed: its client had not waited for it yet.
TEST_CASE("cut value: behind an answer that comes late it is held too, and what is behind it is answered") {
  const std::string late_key = "000000000000dead", half = Before(CutAt::kMiddle, Framed(Framing::kResp));
  Stage stage([&](End& end) {
    if (!end.got.ends_with("\r\n") || end.got.find(late_key) != std::string::npos) return;
    bool large = end.got.find(kLargeKey) != std::string::npos;
    end.Say(large ? half : Value("small"));
  });
  End& client = stage.Client(Get(late_key, "c=read,d=1900") + kShortLargeGet + Get("2000", "c=read,d=1900"));
  auto from = std::chrono::steady_clock::now();
  stage.Until([&] { return std::chrono::steady_clock::now() - from > std::chrono::milliseconds(1300); });
  stage.member.Receiver(late_key)->Say(Value("late"));
  stage.Until([&] { return client.got == Bulk("late"); });
  stage.Rest();
  CHECK(client.got == Bulk("late"));
  stage.member.Receiver(kLargeKey)->Reset();
  stage.Until([&] { return client.got.ends_with(Bulk("small")) || client.closed; });
  CHECK(!client.closed);
  CHECK(stage.router.counters().values_cut == 0);
}

// Guards against a value that is held for so long that its first bytes come too late.
TEST_CASE("cut value: one that comes slowly is passed on within its time though commands are behind it") {
  const std::string answer = Framed(Framing::kResp);
  CuttingServers servers(Framing::kResp, Before(CutAt::kMiddle, answer));
  auto from = std::chrono::steady_clock::now();
  End& client = servers.stage.Client(kShortLargeGet + CommandsBehind(2));
  servers.stage.Until([&] { return !client.got.empty(); });
  CHECK(std::chrono::steady_clock::now() - from < std::chrono::milliseconds(1900));
  CHECK(client.got.size() < kLength);
  servers.holder->Say(answer.substr(Before(CutAt::kMiddle, answer).size()));
  const std::string answers = Bulk(kLargeValue) + AnswersBehind(2);
  servers.stage.Until([&] { return client.got.size() >= answers.size(); });
  bool same = client.got == answers;
  CHECK(same);
}

// Guards against a command that is sent on behind a value that may yet break off: it could not be answered.
TEST_CASE("cut value: a command that comes while it is passed on is left unread until the value is whole") {
  const std::string answer = Framed(Framing::kResp), half = Before(CutAt::kMiddle, answer);
  CuttingServers servers(Framing::kResp, half);
  Stage& stage = servers.stage;
  RawClient client(stage.router.port());
  client.Send(kLargeGet);
  stage.Until([&] { return client.Receive().got.size() > kLength / 4; });
  client.Send(CommandsBehind(2));
  stage.Rest();
  CHECK(stage.router.counters().requests == 1);
  SUBCASE("it breaks off") {
    servers.holder->Reset();
    stage.Until([&] { return client.Receive().closed; });
    stage.Until([&] { return stage.router.counters().clients_closed == 1; });
    CHECK(client.WasReset());  // unread: the client may send it again
    CHECK(stage.router.counters().requests == 1);
    CHECK(stage.router.counters().requests_behind_cut == 0);
  }
  SUBCASE("it goes on") {
    servers.holder->Say(answer.substr(half.size()));
    const std::string answers = Bulk(kLargeValue) + AnswersBehind(2);
    stage.Until([&] { return client.Receive().got.size() >= answers.size(); });
    bool same = client.got == answers;
    CHECK(same);
  }
}

// Guards against values that are held beyond the memory for answers, or refused for want of it.
TEST_CASE("cut value: those that are held for what is behind them stay within the memory, and are served") {
  const std::string value = Large(resp::kMaxBody);
  Stage stage(
      [&](End& end) {
        if (end.got.ends_with("\r\n")) end.got.clear(), end.Say(Value(value));
      },
      [](End& end) {
        if (end.got.ends_with("offer")) end.got.clear(), end.Say(kReceipt);
      },
      "", 1024, 16, "", GiveAmpleTime);
  constexpr int kClients = 6;  // whose values are five times the memory for answers
  std::vector<End*> clients;
  for (int i = 0; i < kClients; ++i) {
    std::string key = std::to_string(20000 + i);
    std::string large = Get(kLargeKey + std::to_string(i), "c=read," + kAmpleTime);
    clients.push_back(&stage.Client(large + Set(key, "c=keyed," + kAmpleTime + ",k=" + key, "offer")));
  }
  const std::string answers = Bulk(value) + Bulk("ok");
  const MemoryBudget& memory = stage.router.memory();
  stage.Until([&] {
    CHECK(memory.used_by(MemoryUse::kIncompleteAnswers) <= memory.max);
    return std::ranges::all_of(clients, [&](End* client) { return client->got.size() >= answers.size(); });
  });
  CHECK(std::ranges::all_of(clients, [&](End* client) { return client->got == answers; }));
  CHECK(stage.router.counters().Sum(&Counters::PerClass::served) == 2 * kClients);
}

enum class EndOfRouter { kStop, kUpgradeAndStop };
enum class Begun { kBefore, kAfter };

// The large value with commands behind it begins before or after the router's end is asked for, and breaks
// off.
void CutWhileEnding(EndOfRouter end, Begun begun) {
  Folder folder;
  const std::string half = Before(CutAt::kMiddle, Framed(Framing::kResp));
  CuttingServers servers(Framing::kResp, begun == Begun::kBefore ? half : "", 192, folder.Door());
  Stage& stage = servers.stage;
  constexpr int kBehind = 8;
  End& client = stage.Client(kLargeGet + CommandsBehind(kBehind));
  stage.Until([&] { return servers.holder != nullptr && servers.holder->said_all(); });
  std::optional<SuccessorPeer> successor;
  if (end == EndOfRouter::kUpgradeAndStop) {
    successor.emplace(stage, folder.Door());
    successor->Ready();
  }
  stage.router.Stop([] {});
  stage.Rest();
  End& holder = *servers.holder;
  if (begun == Begun::kAfter) holder.Say(half);
  stage.Until([&] { return holder.said_all(); });
  stage.Rest();
  holder.Reset();
  CheckAnswered(stage, client, kBehind);
}

// Guards against requests behind a cut value that get no answer while the router ends.
TEST_CASE("cut value: at a stop, and in an upgrade begun behind it, what is behind it is answered") {
  CutWhileEnding(EndOfRouter::kStop, Begun::kBefore);
  CutWhileEnding(EndOfRouter::kStop, Begun::kAfter);
  CutWhileEnding(EndOfRouter::kUpgradeAndStop, Begun::kBefore);
}

// Guards against the same where the old process has no memory to hold the value, which waits unread and is
// passed on after its server has reset.
TEST_CASE("cut value: one that begins in an upgrade takes nothing along that is behind it") {
  CutWhileEnding(EndOfRouter::kUpgradeAndStop, Begun::kAfter);
}

// The large value is given up to its middle, and its server resets.
void GiveHalfAndReset(CuttingServers& servers) {
  End& holder = *servers.holder;
  holder.Say(Before(CutAt::kMiddle, Framed(Framing::kResp)));
  servers.stage.Until([&] { return holder.said_all(); });
  servers.stage.Rest();
  holder.Reset();
}

// Guards against a value that is passed on for want of memory to hold it, as all of that is taken by answers
// that wait behind others and can't become free.
TEST_CASE("cut value: one is held though answers that wait behind others fill the memory") {
  CuttingServers servers(Framing::kResp, "", 16);
  Stage& stage = servers.stage;
  constexpr int kClients = 4, kBehind = 30;  // whose answers are more than the memory takes
  for (int i = 0; i < kClients; ++i) {
    std::string commands = Get(kSilentKey + std::to_string(i), "c=read," + kAmpleTime);
    for (int n = 0; n < kBehind; ++n)
      commands += Get(kLongKey + std::to_string(100 * i + n), "c=read," + kAmpleTime);
    stage.Client(commands);
  }
  stage.Until([&] { return stage.router.counters().answer_waits > 0; });
  End& client = stage.Client(kLargeGet + CommandsBehind(2));
  stage.Until([&] { return servers.holder != nullptr; });
  GiveHalfAndReset(servers);
  CheckAnswered(stage, client, 2);
}

// Guards against a value that waits unread for memory until its time is over, and is passed on though its
// server has reset meanwhile.
TEST_CASE("cut value: one whose server ended while it waited for memory is not passed on") {
  Folder folder;
  CuttingServers servers(Framing::kResp, "", 192, folder.Door());
  Stage& stage = servers.stage;
  HoldLittleUnsent(stage.router.port());
  Deaf(stage, Get(kLongKey, "c=read," + kAmpleTime));
  const MemoryBudget& memory = stage.router.memory();
  stage.Until([&] { return memory.used_by(MemoryUse::kUnsentAnswers) > 0; });
  End& client = stage.Client(kShortLargeGet + CommandsBehind(2));
  stage.Until([&] { return servers.holder != nullptr; });
  SuccessorPeer successor(stage, folder.Door());
  successor.Ready();
  stage.router.Stop([] {});
  stage.Until([&] { return memory.free() == 0; });
  GiveHalfAndReset(servers);
  CheckAnswered(stage, client, 2);
}

}  // namespace
}  // namespace peatbend::net::test
