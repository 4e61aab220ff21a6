// Large values that break off on their way, and what becomes of the other requests of their connections.
#include <sys/socket.h>

#include <string>

#include "base/listen.h"
#include "net/raw_client.h"
#include "net/slow_client.h"
#include "net/stage.h"

namespace peatbend::net::test {
namespace {

constexpr std::size_t kLength = 1024 * 1024;  // of a large value, in bytes
const std::string kOpening = "*3\r\n$" + std::to_string(kLength) + "\r\n";

// The server's connection on which the request of this key came; null: none.
End* HolderOfKey(Peer& server, const std::string& key) {
  for (End& end : server.ends) {
    if (end.got.find(key) != std::string::npos) return &end;
  }
  return nullptr;
}

// The router's system holds little of what it writes on connections that it accepts from now on.
void HoldLittleUnsent(int port) {
  constexpr int kMostDescriptors = 256, kBytes = 4096;
  for (int socket = 0; socket < kMostDescriptors; ++socket) {
    int listens = 0;
    socklen_t size = sizeof listens;
    getsockopt(socket, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size);
    if (listens != 0 && BoundPort(socket) == port)
      setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &kBytes, sizeof kBytes);
  }
}

// Guards against a connection that is closed over answers which its client has not taken: a whole answer
// before the cut value was lost.
TEST_CASE("cut value: an answer before it reaches a slow client whole, and what comes later stays unread") {
  const std::string value(60000, 'v');
  const std::string small_key = "0000000000000011", large_key = "00000000000000ff";
  Stage stage([&](End& end) {
    bool large = end.got.find(large_key) != std::string::npos;
    end.Say(large ? kOpening + "begins" : Value(value));
  });
  HoldLittleUnsent(stage.router.port());
  RawClient client(stage.router.port(), 4096);
  client.Send(Get(small_key, "c=read,d=1900") + Get(large_key, "c=read,d=1900"));
  const Counters& counters = stage.router.counters();
  const std::string opens = "$" + std::to_string(kLength) + "\r\nbegins";
  stage.Until(
      [&] { return stage.router.memory().in_use > opens.size() && HolderOfKey(stage.member, large_key); });
  stage.Until([&] { return counters.Sum(&Counters::PerClass::served) == 1; });
  stage.Rest();
  REQUIRE(stage.router.memory().in_use >
          opens.size());  // something of the answer before is not with the system
  HolderOfKey(stage.member, large_key)->Hang();
  stage.Until([&] { return counters.values_cut == 1; });
  client.Send(Get("2000", "c=read,d=1900"));
  stage.Until([&] { return client.Receive().closed; });
  bool same = client.got == Bulk(value) + opens;
  CHECK(same);
  CHECK(counters.requests == 2);
}

}  // namespace
}  // namespace peatbend::net::test
