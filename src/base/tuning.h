// What operators may tune, with its defaults. src/config fills it from the configuration file;
// docs/configuration.md explains each key. Shares are fractions of one.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace peatbend::net {

using Milliseconds = std::chrono::milliseconds;

struct Tuning {
  struct LogLines {
    std::string format = "text";  // or "json"
    std::int64_t lines_of_a_kind = 20;
    Milliseconds window{10000};
    bool operator==(const LogLines&) const = default;
  } log;
  struct Clients {
    double share = 2.0 / 3;  // of the sockets, at most
    std::int64_t backlog = 511;
    Milliseconds accept_pause{20};
    // A client's first command is whole by then, counted from connecting; any other, from its first byte.
    Milliseconds first_command{2800}, command{2600};
    // From its -ERR on, what a client still sends is read and dropped for so long.
    Milliseconds linger{2000};
    Milliseconds idle{2050};     // may then be closed
    Milliseconds unread{30000};  // takes none of its answers: has gone without a word
    std::int64_t owed = 128;     // answers that a client may run ahead; then it is not read
    std::int64_t unsent_kb = 256;
    // From this share of the sockets on, clients that have asked nothing have only so long.
    double crowded_share = 1.0 / 3;
    // With more than this share of the descriptors held by clients that have asked, idle ones go sooner.
    double held_share = 0.22;
    Milliseconds silent_in_crowd{300};
    Milliseconds about_to_ask{100};  // silent for less: may be about to ask
    bool operator==(const Clients&) const = default;
  } clients;
  struct Backends {
    // Of the time after which a member closes an idle connection: closed by the router. The rest covers a
    // request that would otherwise cross the member's close and end as a reset.
    double idle_share = 0.8;
    Milliseconds settle{10};               // an answer's connection rests so long
    Milliseconds settle_unsolicited{100};  // so long at a server that has sent bytes that answer nothing
    Milliseconds dial_timeout{1000}, keepalive{10000};  // where the deployment states none
    bool operator==(const Backends&) const = default;
  } members;
  struct Discovery {
    Milliseconds silence{3000};  // of a watch; then it is made anew
    std::int64_t list_kb = 4096;
    bool operator==(const Discovery&) const = default;
  } discovery;
  struct Memory {
    double unread_share = 0.125;  // of the memory, for commands that are not whole
    bool operator==(const Memory&) const = default;
  } memory;
  struct Stop {
    Milliseconds keep_listening{550};  // after SIGTERM
    Milliseconds slack{100};           // beyond the longest deadline
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
