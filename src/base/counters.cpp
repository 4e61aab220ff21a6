#include "base/counters.h"

#include <iterator>
#include <string_view>
#include <utility>

namespace peatbend::net {

std::uint64_t Counters::Sum(std::uint64_t OfClass::*count) const {
  std::uint64_t sum = 0;
  for (const OfClass& one : classes) sum += one.*count;
  return sum;
}

std::vector<std::pair<std::string, std::uint64_t>> Describe(const Counters& c) {
  constexpr std::string_view kResults[] = {"good",  "bad",       "full",       "late", "no_connection",
                                           "reset", "cancelled", "never_sent", "miss"};
  static_assert(std::size(kResults) == std::tuple_size_v<decltype(Counters::outcomes)>);
  std::vector<std::pair<std::string, std::uint64_t>> counts;
  auto add = [&counts](std::string_view name, std::uint64_t value) { counts.emplace_back(name, value); };
  add("clients_accepted", c.clients_accepted);
  add("clients_closed", c.clients_closed);
  add("clients_closed_for_room", c.clients_closed_for_room);
  add("clients_closed_as_idle", c.clients_closed_as_idle);
  add("ids_in_use", c.ids_in_use);
  add("client_malformed", c.client_malformed);
  add("pings", c.pings);
  add("unknown_commands", c.unknown_commands);
  add("requests", c.requests);
  add("requests_abandoned", c.requests_abandoned);
  add("served", c.Sum(&Counters::OfClass::served));
  add("rejected", c.Sum(&Counters::OfClass::rejected));
  add("failed", c.Sum(&Counters::OfClass::failed));
  add("values_cut", c.values_cut);
  add("attempts", c.attempts);
  add("attempts_to_origin", c.attempts_to_origin);
  add("dispatches", c.dispatches);
  add("dials", c.dials);
  add("reused", c.reused);
  add("not_sent_no_socket", c.not_sent_no_socket);
  for (std::size_t i = 0; i < std::size(kResults); ++i) {
    add(std::string("attempt_").append(kResults[i]), c.outcomes[i]);
  }
  add("member_malformed", c.member_malformed);
  add("closed_as_stray", c.closed_as_stray);
  add("watches", c.watches);
  add("watch_failures", c.watch_failures);
  add("server_list_changes", c.server_list_changes);
  add("reloads", c.reloads);
  add("reloads_refused", c.reloads_refused);
  return counts;
}

}  // namespace peatbend::net
