// A real router as the successor of a test's router. The asking, which waits, runs on a thread.
#pragma once

#include <atomic>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "net/operations_stage.h"

namespace peatbend::net::test {

// The process that follows, on the loop of the stage. The running process reads in a later turn of the loop
// that it is ready.
struct NextRouter {
  NextRouter(Stage& stage, const std::string& door) : NextRouter(stage, door, stage.Configured()) {}
  NextRouter(Stage& stage, const std::string& door, const Config& config)
      : inherited(Asked(stage, door)), router(stage.base.get(), config, std::move(inherited), door) {}
  static handover::Inheritance Asked(Stage& stage, const std::string& door) {
    std::optional<handover::Inheritance> got;
    std::atomic<bool> done = false;
    std::thread asks([&] {
      got = handover::AskPredecessor(door, std::chrono::seconds(3), [](std::string_view) {});
      done = true;
    });
    stage.Until([&] { return done.load(); });
    asks.join();
    REQUIRE(got.has_value());
    return std::move(*got);
  }
  std::optional<handover::Inheritance> inherited;
  Router router;
};

}  // namespace peatbend::net::test
