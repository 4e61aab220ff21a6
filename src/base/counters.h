// What the program took in, sent and answered. Printed on SIGUSR1 and at exit; docs/oncall.md explains each.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "peatbend/balancer.h"

namespace peatbend::net {

struct Counters {
  // Taken in.
  std::uint64_t clients_accepted = 0, clients_closed = 0, clients_closed_for_room = 0;
  std::uint64_t clients_closed_as_idle = 0, ids_in_use = 0;
  std::uint64_t client_malformed = 0, pings = 0, unknown_commands = 0;
  std::uint64_t requests = 0, requests_abandoned = 0, values_cut = 0;
  // Answered, by class: at the one final answer.
  struct OfClass {
    std::uint64_t served = 0, rejected = 0, failed = 0;
  };
  std::vector<OfClass> classes;  // as the settings number them
  std::uint64_t Sum(std::uint64_t OfClass::*count) const;
  // Sent.
  std::uint64_t attempts = 0, attempts_to_origin = 0, dispatches = 0, dials = 0, reused = 0;
  std::uint64_t not_sent_no_socket = 0;
  std::array<std::uint64_t, 9> outcomes{};  // by Result
  std::uint64_t member_malformed = 0, closed_as_stray = 0;
  // Discovery and the configuration.
  std::uint64_t watches = 0, watch_failures = 0, server_list_changes = 0;
  std::uint64_t reloads = 0, reloads_refused = 0;
};

// Names and values, in the order that docs/oncall.md lists them.
std::vector<std::pair<std::string, std::uint64_t>> Describe(const Counters& counters);

}  // namespace peatbend::net
