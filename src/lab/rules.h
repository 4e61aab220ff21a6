// The rules on repeats and refusals in their smallest form. The referee judges days by them, and the tests
// of orders the module's actions. No code of the router's is used.
#pragma once

#include "peatbend/balancer.h"

namespace peatbend::lab {

// Whether a client may be told to ask again though an attempt may have run.
inline bool HarmlessToAskAgain(const ClassSettings& cls) {
  return cls.effect == Effect::kSafe || (cls.effect == Effect::kKeyed && cls.dedup_group == DedupGroup::kAll);
}

enum class Repeat { kFine, kNever, kTooLate, kOutsideGroup };

// A further attempt, so long after one that may have run. `same_group`: at a server that drops its repeats.
inline Repeat JudgeRepeat(const ClassSettings& cls, Duration since, Duration slack, bool same_group) {
  if (cls.effect == Effect::kSafe) return Repeat::kFine;
  if (cls.effect == Effect::kUnsafe) return Repeat::kNever;
  if (since > cls.dedup_window + slack) return Repeat::kTooLate;
  return same_group ? Repeat::kFine : Repeat::kOutsideGroup;
}

}  // namespace peatbend::lab
