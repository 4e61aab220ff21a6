#include "standin/origin_standin.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <stdexcept>

#include "standin/port.h"

namespace peatbend::standin {

using world::Span;
using world::Verdict;

std::string BindAnywhere(evhttp* http, const std::string& host) {
  evhttp_bound_socket* bound = evhttp_bind_socket_with_handle(http, host.c_str(), 0);
  if (bound == nullptr) throw std::runtime_error("cannot listen on " + host);
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&at), &size);
  return fmt::format("{}:{}", host, ntohs(at.sin_port));
}

OriginStandin::OriginStandin(Pulse& pulse, world::Fleet& fleet, const std::vector<int>& router_zones,
                             Witness& witness)
    : pulse_(pulse), fleet_(fleet), router_zones_(router_zones), witness_(witness) {
  for (std::size_t router = 0; router < router_zones.size(); ++router) {
    auto door =
        std::make_unique<Door>(Door{this, static_cast<int>(router), EvhttpPtr(evhttp_new(pulse.base())), {}});
    evhttp_set_allowed_methods(door->http.get(), EVHTTP_REQ_GET | EVHTTP_REQ_PUT);
    evhttp_set_gencb(
        door->http.get(),
        [](evhttp_request* request, void* self) {
          auto* at = static_cast<Door*>(self);
          at->home->Take(at->router, request);
        },
        door.get());
    door->address = BindAnywhere(door->http.get(), LoopbackHost(10 + static_cast<int>(router), 0, 2));
    doors_.push_back(std::move(door));
  }
}

void OriginStandin::Take(int router, evhttp_request* request) {
  Pulse::Beat beat(pulse_);
  auto header = [&](const char* name) {
    const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return std::string(value == nullptr ? "" : value);
  };
  std::string key = evhttp_request_get_uri(request), id = header("X-Correlation-Id");
  if (key.starts_with('/')) key.erase(0, 1);
  bool write = evhttp_request_get_command(request) == EVHTTP_REQ_PUT;
  auto ask = witness_.Know(id, key, write);
  if (!ask || header("X-Facts").empty()) return evhttp_send_error(request, 400, "Bad Request");
  ask->router = router;
  std::size_t seen = witness_.Begun(id, -1, router, pulse_.agenda.now());
  witness_.Whole(seen, -1);
  auto waiting = Waiting::Take(request);
  auto job = std::make_shared<world::JobPtr>();
  waiting->on_left = [this, job] {
    Pulse::Beat beat(pulse_);
    fleet_.origin().Cancel(*job);
  };
  Span way = fleet_.Delay(router_zones_[static_cast<std::size_t>(router)], 0);
  // Weak: what waits holds the job, which holds this.
  std::weak_ptr<Waiting> asks = waiting;
  auto answer = [this, asks, way, seen, ask = *ask](Verdict verdict) {
    bool busy = verdict == Verdict::kBusy;
    if (busy) witness_.NeverRan(seen);
    std::string value = busy ? "" : witness_.Value(ask.key, ask.id, "origin");
    pulse_.agenda.In(way, [asks, busy, value] {
      auto held = asks.lock();
      if (!held || held->over()) return;
      if (busy) evhttp_add_header(evhttp_request_get_output_headers(held->request()), "X-Unprocessed", "1");
      held->Answer(busy ? 503 : 200, busy ? "Service Unavailable" : "OK", value);
    });
  };
  pulse_.agenda.In(way, [this, waiting, job, ask = *ask, answer] {
    if (!waiting->over()) *job = fleet_.AtOrigin(ask, answer);
  });
}

}  // namespace peatbend::standin
