// Counts what clients write and read by version, and judges what reached a server: no write with a version
// that was not proposed yet or must be refused; and of data and a reader that cannot read it at most one, in
// any order. Shares no code with the routers. Times are the lab's.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lab/publish.h"

namespace peatbend::lab {

struct PublishResult {
  std::string name;  // "version 2", "reader shops"
  std::uint64_t asked = 0, reached = 0;
};

class PublishWatch {
 public:
  // `day` outlives it.
  explicit PublishWatch(const PublishDay& day)
      : day_(day), versions_(day.versions.size()), readers_(day.readers.size()) {}

  void Asked(const Payload& payload);
  struct Breach {
    bool written = false;  // not to be written; else it is of a reader and what it cannot read
    std::string what;
  };
  // Its first attempt came at a server.
  std::optional<Breach> Reached(const Payload& payload, world::Time at);
  std::vector<PublishResult> Results() const;

 private:
  struct Count {
    std::uint64_t asked = 0, reached = 0;
  };
  const PublishDay& day_;
  std::vector<Count> versions_, readers_;
};

}  // namespace peatbend::lab
