// Codec of the simulator's line protocol (WIRE-peatbend.md): parses text lines into events and writes actions
// as text lines. Makes no routing decisions.
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

// A malformed line. The message gives its number, what was expected and what was found.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Parses the settings of an INIT line: `path=value` pairs separated by spaces. Unknown paths are ignored.
// Throws std::invalid_argument, naming the path, for a malformed value.
Settings ParseSettings(std::string_view pairs);

// Appends the line of one action of `instance`, with its newline.
void AppendAction(std::string& out, std::uint64_t instance, const Action& action);

// Hosts the router instances of one process and answers batches of events.
class Session {
 public:
  // Handles one line, given without its newline. If it ends a batch, appends the reply to `reply` and returns
  // true. Throws WireError for a malformed line.
  bool HandleLine(std::string_view line, std::string& reply);
  // Whether the input may end here.
  bool between_batches() const { return !in_batch_; }
  std::uint64_t line_number() const { return line_; }

 private:
  class Fields;
  void HandleEvent(std::string_view name, Fields& fields, std::string& reply);
  void StartInstance(std::string_view rest, std::string& reply);
  void Deliver(std::uint64_t instance, const Event& event, std::string& reply);
  [[noreturn]] void ThrowMalformed(std::string_view expected, std::string_view found) const;

  std::map<std::uint64_t, std::unique_ptr<Balancer>> instances_;
  std::map<std::uint64_t, std::vector<ServerEntry>> server_lists_;
  std::vector<Action> actions_;
  std::vector<ServerEntry>* current_list_ = nullptr;  // the list that ROW lines are added to
  std::uint64_t rows_left_ = 0;
  bool in_batch_ = false;
  std::uint64_t line_ = 0;
  std::uint64_t batch_turn_ = 0;
  TimePoint now_{};
};

}  // namespace peatbend::benchlink
