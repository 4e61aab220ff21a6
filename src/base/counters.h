// Counters of connections, requests, answers and attempts. Printed on SIGUSR1 and at exit; docs/oncall.md
// explains each.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "peatbend/balancer.h"

namespace peatbend::net {

struct Counters {
  // Clients and their commands.
  std::uint64_t clients_accepted = 0, clients_closed = 0, clients_closed_for_room = 0;
  std::uint64_t clients_closed_as_idle = 0, ids_in_use = 0;
  std::uint64_t client_malformed = 0, refused_for_memory = 0, pings = 0, unknown_commands = 0;
  std::uint64_t requests = 0, requests_abandoned = 0, values_cut = 0, requests_behind_cut = 0;
  // Final answers, one per request, by request class.
  struct PerClass {
    std::uint64_t served = 0, rejected = 0, failed = 0;
  };
  std::vector<PerClass> classes;                            // indexed as Settings::classes
  std::uint64_t Sum(std::uint64_t PerClass::*count) const;  // over all classes
  // Attempts and connections to servers.
  std::uint64_t attempts = 0, attempts_to_origin = 0, dispatches = 0, dials = 0, reused = 0;
  std::uint64_t not_sent_no_socket = 0, undelivered = 0, answer_waits = 0;
  std::array<std::uint64_t, 9> outcomes{};  // indexed by Result
  std::uint64_t member_malformed = 0, closed_as_stray = 0;
  std::uint64_t answers_dropped = 0;
  // Discovery and configuration reloads.
  std::uint64_t watches = 0, watch_failures = 0, server_list_changes = 0;
  std::uint64_t reloads = 0, reloads_refused = 0;
};

// Names and values of all counters, in the order of docs/oncall.md.
std::vector<std::pair<std::string, std::uint64_t>> Describe(const Counters& counters);

}  // namespace peatbend::net
