// The simulator's wire (WIRE-peatbend.md): text lines to events, actions to text lines. Translates,
// never decides.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "peatbend/balancer.h"

namespace peatbend::benchlink {

// A line that cannot be taken: says its number, what was expected and what was found.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The settings of an INIT line: `path=value` pairs, parted by spaces. Unknown paths are passed
// over.
Settings ParseSettings(std::string_view pairs);

// Appends the line(s) of one action of `instance`.
void AppendAction(std::string& out, std::uint64_t instance, const Action& action);

// Hosts the instances of one process and answers whole batches.
class Session {
 public:
  // Takes one line, without its newline. Where the line ends a batch, appends the reply to `reply`
  // and returns true. Throws WireError.
  bool TakeLine(std::string_view line, std::string& reply);
  // Whether input may end here.
  bool between_batches() const { return !in_batch_; }
  std::uint64_t line_number() const { return line_; }

 private:
  class Fields;
  void TakeEvent(std::string_view name, Fields& fields, std::string& reply);
  void StartInstance(std::string_view rest, std::string& reply);
  void Deliver(std::uint64_t instance, const Event& event, std::string& reply);
  [[noreturn]] void Bad(std::string_view expected, std::string_view found) const;

  std::map<std::uint64_t, std::unique_ptr<Balancer>> instances_;
  std::map<std::uint64_t, std::vector<ServerEntry>> lists_;
  std::vector<Action> actions_;
  std::vector<ServerEntry>* filling_ = nullptr;  // the list whose ROW lines are coming
  std::uint64_t rows_left_ = 0;
  bool in_batch_ = false;
  std::uint64_t line_ = 0;
  std::uint64_t turn_ = 0;
  TimePoint now_{};
};

}  // namespace peatbend::benchlink
