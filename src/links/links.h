// Links that fail: between any two processes that talk by datagrams and streams lies a relay on loopback, one
// for each that is talked to, which knows the sender by its address. Each way of each pair has faults of its
// own. The relays run on threads of their own; everything here may be called from any one other thread.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace peatbend::links {

using Span = std::chrono::nanoseconds;

// What befalls what one process sends to another.
struct Faults {
  double loss = 0, duplicate = 0;  // shares of datagrams
  Span delay{}, spread{};          // added: the least, and up to so much more; the spread reorders datagrams
  double bytes_per_s = 0;          // 0: no bound
  bool cut =
      false;  // datagrams are lost; streams stand still, and what they carry is delivered once it is over
  bool hold = false;  // datagrams too are kept until it is over
};

class Links {
 public:
  struct Node {
    std::string real;   // where the process listens: HOST:PORT, a host that no other node has
    std::string shown;  // where others are to reach it: the relay's address; filled in where the port is 0
  };
  // Throws std::runtime_error where an address cannot be had.
  Links(std::vector<Node> nodes, std::uint64_t seed, std::size_t threads = 2);
  ~Links();
  Links(const Links&) = delete;
  Links& operator=(const Links&) = delete;

  const std::string& Shown(std::size_t node) const;
  void Set(std::size_t from, std::size_t to, const Faults& faults);
  void SetAll(const Faults& faults);
  // Ends the streams between the two with a reset.
  void Reset(std::size_t a, std::size_t b);

  struct Counts {
    std::uint64_t passed = 0, lost = 0, streams = 0, strangers = 0, resets = 0;
    Span worst_late{};  // of what was delayed, against when it was due: the rig's own lateness
  };
  Counts counts() const;

 private:
  class Worker;
  struct Shared;
  std::shared_ptr<Shared> shared_;
  std::vector<std::unique_ptr<Worker>> workers_;
};

}  // namespace peatbend::links
