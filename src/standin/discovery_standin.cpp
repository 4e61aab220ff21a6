#include "standin/discovery_standin.h"

#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "standin/origin_standin.h"
#include "standin/port.h"

namespace peatbend::standin {
namespace {
constexpr auto kHeartbeat = std::chrono::seconds(2);
}

using world::Listing;
using world::Span;

DiscoveryStandin::DiscoveryStandin(Pulse& pulse, world::Fleet& fleet, int routers, AddressOf address_of,
                                   Witness& witness)
    : pulse_(pulse),
      fleet_(fleet),
      address_of_(std::move(address_of)),
      witness_(witness),
      heartbeat_(pulse.base(), [this] { Heartbeat(); }) {
  for (int router = 0; router < routers; ++router) doors_.push_back(Open(router));
  heartbeat_.Set(kHeartbeat);
}

DiscoveryStandin::~DiscoveryStandin() { EndWatches(); }

std::unique_ptr<DiscoveryStandin::Door> DiscoveryStandin::Open(int router) {
  auto door = std::make_unique<Door>(Door{this, router, EvhttpPtr(evhttp_new(pulse_.base())), {}, {}});
  evhttp_set_gencb(
      door->http.get(),
      [](evhttp_request* request, void* self) {
        auto* at = static_cast<Door*>(self);
        at->home->Take(*at, request);
      },
      door.get());
  door->address = BindAnywhere(door->http.get(), LoopbackHost(10 + router, 0, 3));
  return door;
}

std::string DiscoveryStandin::Lines(int router, std::int64_t index, bool whole,
                                    const std::vector<Listing>& listings) const {
  nlohmann::ordered_json entries = nlohmann::ordered_json::array();
  for (const Listing& listing : listings) {
    const char* words[] = {"SERVING", "DRAINING", "DELETED"};
    entries.push_back({{"name", listing.name},
                       {"address", address_of_(listing.place, router)},
                       {"zone", std::string(1, static_cast<char>('a' + listing.zone))},
                       {"type", listing.place < 0 ? "origin" : "box"},
                       {"group", listing.zone},
                       {"status", words[static_cast<int>(listing.status)]},
                       {"weight", 1.0},
                       {"since_ms", pulse_.UnixMs(listing.started)}});
  }
  return nlohmann::ordered_json{{"index", index}, {"snapshot", whole}, {"endpoints", entries}}.dump();
}

std::string DiscoveryStandin::Whole(int router) const {
  std::vector<Listing> all;
  for (const auto& [name, listing] : fleet_.discovery().list()) {
    if (listing.status != Listing::Status::kDeleted) all.push_back(listing);
  }
  return Lines(router, fleet_.discovery().version(), true, all);
}

void DiscoveryStandin::Take(Door& door, evhttp_request* request) {
  Pulse::Beat beat(pulse_);
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  const char* query = evhttp_uri_get_query(uri);
  if (std::string(evhttp_uri_get_path(uri)) != "/api/targets")
    return evhttp_send_error(request, 404, "Not Found");
  evkeyvalq words{};
  evhttp_parse_query_str(query == nullptr ? "" : query, &words);
  const char* watch = evhttp_find_header(&words, "watch");
  const char* from_text = evhttp_find_header(&words, "from");
  bool watches = watch != nullptr && std::string(watch) == "1";
  std::int64_t from = from_text == nullptr ? 0 : std::atoll(from_text);
  evhttp_clear_headers(&words);
  auto waiting = Waiting::Take(request);
  Span call = fleet_.discovery().Call();
  if (call < Span{}) return waiting->Answer(503, "Service Unavailable", "");
  Door* at = &door;
  pulse_.agenda.In(call, [this, waiting, watches, from, at] {
    if (waiting->over()) return;
    if (fleet_.discovery().down()) return waiting->Answer(503, "Service Unavailable", "");
    if (!watches) return waiting->Answer(200, "OK", Whole(at->router));
    waiting->Start();
    std::int64_t version = fleet_.discovery().version();
    bool delta = from > 0 && from <= version;
    auto changed = fleet_.discovery().After(delta ? from : 0);
    waiting->Piece((delta ? Lines(at->router, version, false, changed) : Whole(at->router)) + "\n");
    for (const Listing& listing : changed) witness_.Told(at->router, listing);
    at->watches.push_back(waiting);
  });
}

void DiscoveryStandin::Changed(const Listing& listing) {
  for (auto& door : doors_) {
    std::string line = Lines(door->router, listing.version, false, {listing}) + "\n";
    std::erase_if(door->watches, [](const auto& one) { return one->over(); });
    for (auto& one : door->watches) one->Piece(line);
    if (!door->watches.empty()) witness_.Told(door->router, listing);
  }
}

void DiscoveryStandin::Heartbeat() {
  for (auto* doors : {&doors_, &old_}) {
    for (auto& door : *doors) {
      std::erase_if(door->watches, [](const auto& one) { return one->over(); });
      for (auto& one : door->watches) one->Piece("\n");
    }
  }
  heartbeat_.Set(kHeartbeat);
}

void DiscoveryStandin::EndWatches() {
  for (auto* doors : {&doors_, &old_}) {
    for (auto& door : *doors) {
      for (auto& one : std::exchange(door->watches, {})) one->End();
    }
  }
}

void DiscoveryStandin::Move(Span ends_after) {
  for (auto& door : doors_) {
    evhttp_foreach_bound_socket(
        door->http.get(),
        [](evhttp_bound_socket* one, void*) {
          evconnlistener_disable(evhttp_bound_socket_get_listener(one));
        },
        nullptr);
    auto next = Open(door->router);
    old_.push_back(std::exchange(door, std::move(next)));
  }
  pulse_.agenda.In(ends_after, [this] {
    for (auto& door : old_) {
      for (auto& one : std::exchange(door->watches, {})) one->End();
    }
  });
}

}  // namespace peatbend::standin
