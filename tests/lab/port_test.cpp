// A stand-in's port is what a machine's port can be: open, refusing, or silent as one that has vanished.
#include "standin/port.h"

#include "doctest/doctest.h"
#include "lab/dial.h"

namespace peatbend::standin::test {
namespace {

enum class Came { kNothing, kUp, kRefused };

// What comes of connecting within so many ms.
Came Try(event_base* base, const std::string& address, int ms) {
  Came came = Came::kNothing;
  net::BuffereventPtr socket = lab::Dial(base, address);
  REQUIRE(socket != nullptr);
  bufferevent_setcb(
      socket.get(), nullptr, nullptr,
      [](bufferevent*, short what, void* got) {
        *static_cast<Came*>(got) = (what & BEV_EVENT_CONNECTED) != 0 ? Came::kUp : Came::kRefused;
      },
      &came);
  bufferevent_enable(socket.get(), EV_READ | EV_WRITE);
  auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(ms);
  while (came == Came::kNothing && std::chrono::steady_clock::now() < until) {
    timeval turn{0, 5000};
    event_base_loopexit(base, &turn);
    event_base_dispatch(base);
  }
  return came;
}

TEST_CASE("a port is open, refuses, or is silent; and is itself again at the same address") {
  net::EventBasePtr base(event_base_new());
  std::vector<evutil_socket_t> accepted;
  Port port(base.get(), LoopbackHost(8, 0, 1), [&](evutil_socket_t socket) { accepted.push_back(socket); });
  std::string address = port.address();
  CHECK(Try(base.get(), address, 5000) == Came::kUp);
  port.Silence();
  CHECK(Try(base.get(), address, 300) == Came::kNothing);
  port.Speak();
  CHECK(Try(base.get(), address, 5000) == Came::kUp);
  port.Refuse();
  CHECK(Try(base.get(), address, 5000) == Came::kRefused);
  port.Open();
  CHECK(port.address() == address);
  CHECK(Try(base.get(), address, 5000) == Came::kUp);
  CHECK(accepted.size() >= 2);
  for (evutil_socket_t socket : accepted) CloseWithReset(socket);
}

}  // namespace
}  // namespace peatbend::standin::test
