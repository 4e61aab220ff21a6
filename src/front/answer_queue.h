// The answers that one client is owed, in the order of its commands.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <vector>

#include "base/event_handles.h"
#include "peatbend/balancer.h"

namespace peatbend::net {

// An answer has a place: the number of its command on the connection, from 0. It is there once it has been
// set, and is handed out for writing when all answers before it have been.
class AnswerQueue {
 public:
  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }
  // The place of the next command's answer.
  std::uint64_t next_place() const { return first_ + entries_.size(); }
  // Whether all answers before this one have been handed out.
  bool IsFirst(std::uint64_t place) const { return place == first_; }

  // The next command is a request: its answer comes later.
  void AddRequest(RequestId id);
  // The next command is answered at once.
  void AddAnswer(std::string_view answer);
  // The next command is refused at once.
  void AddRejection(Duration come_back);

  void Serve(std::uint64_t place, evbuffer* value);
  void Reject(std::uint64_t place, Duration come_back);
  void Fail(std::uint64_t place);

  // A large value has begun to arrive, and is not handed out until Serve, Reject, Fail or BeginValue.
  void HoldValue(std::uint64_t place, std::size_t length);
  // An answer whose value is passed on in pieces.
  void BeginValue(std::uint64_t place, std::size_t length);
  void AddPiece(std::uint64_t place, evbuffer* bytes);
  void EndValue(std::uint64_t place);
  // No further piece comes; the value is not whole.
  void CutValue(std::uint64_t place);
  // The sender of the value is not read until ResumeFirst.
  void PauseValue(std::uint64_t place);
  // Whether the sender of the first answer's value is paused.
  bool first_paused() const;
  // Ends that pause; the request whose value goes on.
  RequestId ResumeFirst();
  // The request of the first answer, if it is a large value that is held.
  std::optional<RequestId> first_held() const;
  // Whether a large value that is not whole is among the answers.
  bool value_unfinished() const { return unfinished_ > 0; }

  // Drops all answers.
  void Clear();
  // All that can be written now as one piece: the answers up to the first that is not whole, and what is
  // there of that one. Null where there is nothing.
  BufferPtr TakeReady();
  // Bytes of answers that have not been handed out.
  std::size_t bytes() const;
  // Whether nothing of the first answer has come, so that those behind it wait.
  bool blocked() const { return !entries_.empty() && !entries_.front().answer; }
  // Bytes of large values that have not come.
  std::size_t bytes_to_come() const;
  // Requests that have no whole answer yet.
  std::vector<RequestId> Unanswered() const;
  // Requests whose answers come after the first one.
  std::size_t RequestsBehindFirst() const;

 private:
  struct Entry {
    BufferPtr answer;  // null: not there yet
    enum class Value { kWhole, kHeld, kComes, kPaused } value = Value::kWhole;
    std::size_t to_come = 0;  // bytes of a value that is not whole
    RequestId id{};
    bool is_request = false;
  };
  Entry& At(std::uint64_t place) { return entries_[place - first_]; }
  void SetValue(Entry& entry, Entry::Value value);
  void Answer(std::uint64_t place);

  std::deque<Entry> entries_;
  std::uint64_t first_ = 0;     // place of the first entry
  std::size_t unfinished_ = 0;  // entries whose value is not whole
};

}  // namespace peatbend::net
