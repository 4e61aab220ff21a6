// The settings that operators may tune, with their defaults. src/config fills them in from the configuration
// file, and docs/configuration.md explains each key; fields have the names of their keys, without the unit. A
// share is a fraction from 0 to 1.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace peatbend::net {

using Milliseconds = std::chrono::milliseconds;

struct Tuning {
  struct LogLines {
    std::string format = "text";        // or "json"
    std::int64_t lines_of_a_kind = 20;  // per window; further lines are suppressed and counted
    Milliseconds window{10000};
    bool operator==(const LogLines&) const = default;
  } log;
  struct Clients {
    double share = 2.0 / 3;  // maximum share of the sockets that clients may have open
    std::int64_t backlog = 511;
    Milliseconds accept_pause{20};  // after a failed accept
    // Timeouts for a complete command: the first counts from the connection, later ones from their first
    // byte.
    Milliseconds first_command{2800}, command{2600};
    // After an -ERR that ends a connection, its input is read and discarded for this long.
    Milliseconds linger{2000};
    Milliseconds idle{2050};     // idle connections may be closed after this
    Milliseconds unread{30000};  // a client that reads none of its answers for this long counts as gone
    std::int64_t owed = 128;     // answers pending on a connection above which it is not read
    std::int64_t unsent_kb = 256;
    // Above this share of the sockets, clients that have sent no request are closed after `silent_in_crowd`.
    double crowded_share = 1.0 / 3;
    // Above this share of the descriptors held by clients that have sent requests, idle ones are closed
    // early.
    double held_share = 0.22;
    Milliseconds silent_in_crowd{300};
    Milliseconds about_to_ask{100};  // silent clients younger than this are closed last
    bool operator==(const Clients&) const = default;
  } clients;
  struct Members {
    // The router closes an idle connection after this share of the time after which the member would. The
    // margin prevents a request from crossing the member's close on the wire and ending as a reset.
    double idle_share = 0.8;
    Milliseconds settle{10};               // before a connection is reused after an answer
    Milliseconds settle_unsolicited{100};  // the same at a server that has sent unsolicited bytes
    Milliseconds dial_timeout{1000}, keepalive{10000};  // used if the deployment states none
    bool operator==(const Members&) const = default;
  } members;
  struct Discovery {
    Milliseconds silence{3000};  // of a watch, after which it is renewed
    std::int64_t list_kb = 4096;
    bool operator==(const Discovery&) const = default;
  } discovery;
  struct Memory {
    double unread_share = 0.125;  // share of the memory for incomplete commands
    bool operator==(const Memory&) const = default;
  } memory;
  struct Stop {
    Milliseconds keep_listening{550};  // after SIGTERM
    Milliseconds slack{100};           // added to the longest deadline
    bool operator==(const Stop&) const = default;
  } stop;
  struct Peers {  // see docs/peers.md
    Milliseconds probe{200}, timeout{100}, gossip{100};
    Milliseconds suspicion_least{700}, suspicion_most{1400}, stall{400};
    bool operator==(const Peers&) const = default;
  } peers;
  struct Failover {  // see docs/failover.md
    Milliseconds send_permit{200}, commit_timeout{250}, outcome_timeout{500}, retain{5000};
    bool operator==(const Failover&) const = default;
  } failover;
  struct Quota {  // see docs/rations.md
    Milliseconds draw{20}, again{40}, alone_after{300}, idle{1000};
    std::int64_t buckets = 100000;
    bool operator==(const Quota&) const = default;
  } rations;
  struct Overload {  // see docs/overload.md
    std::int64_t dials_per_second = 20;
    bool operator==(const Overload&) const = default;
  } overload;
  bool operator==(const Tuning&) const = default;
};

}  // namespace peatbend::net
