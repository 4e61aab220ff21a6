// The keys of the configuration file (TOML): one table of them, from which the file is read and checked, and
// which docs/configuration.md is held against.
#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/tuning.h"

namespace peatbend {

// What a key's value may be, and where it goes.
struct WholeNumber {
  std::int64_t least, most;
  std::int64_t& (*at)(net::Tuning&);
};
struct Share {  // above 0, up to 1
  double& (*at)(net::Tuning&);
};
struct Time {  // whole milliseconds
  std::int64_t least_ms, most_ms;
  net::Milliseconds& (*at)(net::Tuning&);
};
struct Word {
  std::vector<std::string_view> words;
  std::string& (*at)(net::Tuning&);
};

struct TuningKey {
  std::string_view name;  // "clients.idle_ms"
  std::variant<WholeNumber, Share, Time, Word> value;
};

// A key that was renamed. The old name is an error that tells the new one.
struct RenamedKey {
  std::string_view old_name, new_name;  // of the whole path; * stands for a place in a list
};

std::span<const TuningKey> TuningKeys();
std::span<const RenamedKey> RenamedKeys();
// The name that `old_name` has now; empty if no key was renamed from it.
std::string_view NewName(std::string_view old_name);
// The key's value in `tuning`, as the file would state it.
std::string Shown(const TuningKey& key, const net::Tuning& tuning);
// What the value may be, as docs/configuration.md words it: "1 to 100000", "text or json".
std::string Allowed(const TuningKey& key);

// The paths below [deployment] that mean something ("classes.*.deadline"); * stands for a place in a list.
std::span<const std::string_view> DeploymentPaths();
// Those of them that hold a time, which the file may write as "250ms" or "2s".
bool HoldsTime(std::string_view path);

// The known name that takes the fewest edits to reach from `name`.
std::string Nearest(std::string_view name, std::span<const std::string> known);

}  // namespace peatbend
