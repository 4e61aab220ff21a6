#include "base/counters.h"

#include <iterator>
#include <string_view>
#include <utility>

namespace peatbend::net {

std::uint64_t Counters::Sum(std::uint64_t PerClass::*count) const {
  std::uint64_t sum = 0;
  for (const PerClass& cls : classes) sum += cls.*count;
  return sum;
}

std::vector<std::pair<std::string, std::uint64_t>> Describe(const Counters& counters) {
  constexpr std::string_view kResultNames[] = {"good",  "bad",       "full",       "late", "no_connection",
                                               "reset", "cancelled", "never_sent", "miss"};
  static_assert(std::size(kResultNames) == std::tuple_size_v<decltype(Counters::outcomes)>);
  std::vector<std::pair<std::string, std::uint64_t>> counts;
  auto add = [&counts](std::string_view name, std::uint64_t value) { counts.emplace_back(name, value); };
  add("clients_accepted", counters.clients_accepted);
  add("clients_closed", counters.clients_closed);
  add("clients_closed_for_room", counters.clients_closed_for_room);
  add("clients_closed_as_idle", counters.clients_closed_as_idle);
  add("ids_in_use", counters.ids_in_use);
  add("client_malformed", counters.client_malformed);
  add("refused_for_memory", counters.refused_for_memory);
  add("pings", counters.pings);
  add("unknown_commands", counters.unknown_commands);
  add("requests", counters.requests);
  add("requests_abandoned", counters.requests_abandoned);
  add("served", counters.Sum(&Counters::PerClass::served));
  add("rejected", counters.Sum(&Counters::PerClass::rejected));
  add("failed", counters.Sum(&Counters::PerClass::failed));
  add("values_cut", counters.values_cut);
  add("requests_behind_cut", counters.requests_behind_cut);
  add("attempts", counters.attempts);
  add("attempts_to_origin", counters.attempts_to_origin);
  add("dispatches", counters.dispatches);
  add("dials", counters.dials);
  add("reused", counters.reused);
  add("not_sent_no_socket", counters.not_sent_no_socket);
  add("undelivered", counters.undelivered);
  add("answer_waits", counters.answer_waits);
  for (std::size_t i = 0; i < std::size(kResultNames); ++i) {
    add(std::string("attempt_").append(kResultNames[i]), counters.outcomes[i]);
  }
  add("member_malformed", counters.member_malformed);
  add("closed_as_stray", counters.closed_as_stray);
  add("answers_dropped", counters.answers_dropped);
  add("watches", counters.watches);
  add("watch_failures", counters.watch_failures);
  add("server_list_changes", counters.server_list_changes);
  add("reloads", counters.reloads);
  add("reloads_refused", counters.reloads_refused);
  return counts;
}

}  // namespace peatbend::net
