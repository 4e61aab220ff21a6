// What a day states about rations: the book that the routers keep, and, apart from it and in words of the
// laboratory's own, the limits that the referee holds them to. Values.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace peatbend::lab {

struct RationLimit {
  enum class Kind { kAny, kReads, kWrites };
  enum class Each { kTogether, kTenant, kClient };  // one bucket for all, or one for each of these
  std::string name;
  std::vector<int> tenants, classes;  // whom it counts; empty: any
  Kind kind = Kind::kAny;
  Each each = Each::kTogether;
  double rate = 0, burst = 1;      // tokens a second, tokens
  std::optional<double> constant;  // tokens beyond; else what the processes of the window may have in hand
};

struct RationDay {
  enum class Play {
    kOff,    // routers know of no rations
    kOn,     // they keep the book
    kShares  // they know of none, and the laboratory holds each router to its own part of each limit
  };
  Play play = Play::kOff;
  std::string book;        // its text
  std::vector<int> seats;  // routers that may keep shards
  double slack_ms = 600;   // from a router's yes to the attempt's arrival at a stand-in
  std::vector<RationLimit> limits;
};

}  // namespace peatbend::lab
