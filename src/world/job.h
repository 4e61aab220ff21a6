// One attempt as a server of the world sees it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "world/agenda.h"

namespace peatbend::world {

struct Ask {
  std::string id;  // the request's
  std::string key;
  std::string idempotency;  // empty: none
  bool write = false;
  int router = 0;
  Span work{};              // on a core of speed 1
  std::size_t bytes = 100;  // of the value
};

enum class Verdict {
  kValue,    // has run; the value
  kMiss,     // no value here; nothing has run
  kPending,  // the same, while another fetch of the key is out
  kBusy,     // turned away without a look
  kFailed,   // an error; it may have run
  kSpoilt,   // has run; what is answered cannot be used
};

// Whether the verdict proves that nothing ran.
inline bool ProvesNeverRan(Verdict verdict) {
  return verdict == Verdict::kBusy || verdict == Verdict::kMiss || verdict == Verdict::kPending;
}

// Called at most once; never, where the server takes the work and stays silent.
using Answer = std::function<void(Verdict)>;

// Handed out for each attempt. Dropping it does not cancel: Cancel does.
struct Job {
  Ask ask;
  Answer answer;
  Time begun{}, finish{};
  bool running = false, over = false;
  bool missed = false;  // decided at the start
};
using JobPtr = std::shared_ptr<Job>;

}  // namespace peatbend::world
