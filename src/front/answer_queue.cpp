#include "front/answer_queue.h"

#include <algorithm>
#include <utility>

#include "front/client_command.h"

namespace peatbend::net {

void AnswerQueue::AddRequest(RequestId id) {
  Entry& entry = entries_.emplace_back();
  entry.is_request = true;
  entry.id = id;
}

void AnswerQueue::AddAnswer(std::string_view answer) {
  Entry& entry = entries_.emplace_back();
  entry.answer = NewBuffer();
  Append(entry.answer.get(), answer);
}

void AnswerQueue::AddRejection(Duration come_back) {
  Entry& entry = entries_.emplace_back();
  entry.answer = NewBuffer();
  AppendRejected(entry.answer.get(), come_back);
}

void AnswerQueue::Serve(std::uint64_t place, evbuffer* value) {
  Answer(place);
  AppendServed(At(place).answer.get(), value);
}

void AnswerQueue::Reject(std::uint64_t place, Duration come_back) {
  Answer(place);
  AppendRejected(At(place).answer.get(), come_back);
}

void AnswerQueue::Fail(std::uint64_t place) {
  Answer(place);
  Append(At(place).answer.get(), "-ERR failed\r\n");
}

void AnswerQueue::BeginValue(std::uint64_t place, std::size_t length) {
  Answer(place);
  SetValue(At(place), Entry::Value::kComes);
  At(place).to_come = length;
  evbuffer_add_printf(At(place).answer.get(), "$%zu\r\n", length);
}

void AnswerQueue::AddPiece(std::uint64_t place, evbuffer* bytes) {
  Entry& entry = At(place);
  entry.to_come -= std::min(entry.to_come, evbuffer_get_length(bytes));
  evbuffer* answer = entry.answer.get();
  if (IsFirst(place)) {
    evbuffer_add_buffer(answer, bytes);  // is written at once
  } else {
    MoveCompact(bytes, answer, evbuffer_get_length(bytes));
  }
}

void AnswerQueue::EndValue(std::uint64_t place) {
  SetValue(At(place), Entry::Value::kWhole);
  Append(At(place).answer.get(), "\r\n");
}

void AnswerQueue::CutValue(std::uint64_t place) { SetValue(At(place), Entry::Value::kWhole); }

void AnswerQueue::PauseValue(std::uint64_t place) { SetValue(At(place), Entry::Value::kPaused); }

void AnswerQueue::HoldValue(std::uint64_t place, std::size_t length) {
  SetValue(At(place), Entry::Value::kHeld);
  At(place).to_come = length;
}

void AnswerQueue::SetValue(Entry& entry, Entry::Value value) {
  bool before = std::exchange(entry.value, value) != Entry::Value::kWhole;
  bool now = value != Entry::Value::kWhole;
  unfinished_ = unfinished_ + (now ? 1 : 0) - (before ? 1 : 0);
  if (!now) entry.to_come = 0;
}

// An empty answer, to be filled.
void AnswerQueue::Answer(std::uint64_t place) {
  SetValue(At(place), Entry::Value::kWhole);
  At(place).answer = NewBuffer();
}

bool AnswerQueue::first_paused() const {
  return !entries_.empty() && entries_.front().value == Entry::Value::kPaused;
}

RequestId AnswerQueue::ResumeFirst() {
  SetValue(entries_.front(), Entry::Value::kComes);
  return entries_.front().id;
}

std::optional<RequestId> AnswerQueue::first_held() const {
  bool held = !entries_.empty() && entries_.front().value == Entry::Value::kHeld;
  return held ? std::optional(entries_.front().id) : std::nullopt;
}

void AnswerQueue::Clear() {
  first_ += entries_.size();
  entries_.clear();
  unfinished_ = 0;
}

BufferPtr AnswerQueue::TakeReady() {
  BufferPtr out;
  while (!entries_.empty() && entries_.front().answer) {
    Entry& entry = entries_.front();
    bool whole = entry.value == Entry::Value::kWhole;
    if (!out && whole) {
      out = std::move(entry.answer);
    } else {
      if (!out) out = NewBuffer();
      evbuffer_add_buffer(out.get(), entry.answer.get());
    }
    if (!whole) break;
    entries_.pop_front();
    ++first_;
  }
  if (out && evbuffer_get_length(out.get()) == 0) out.reset();
  return out;
}

std::size_t AnswerQueue::bytes() const {
  std::size_t size = 0;
  for (const Entry& entry : entries_) size += entry.answer ? evbuffer_get_length(entry.answer.get()) : 0;
  return size;
}

std::size_t AnswerQueue::bytes_to_come() const {
  std::size_t size = 0;
  for (const Entry& entry : entries_) size += entry.to_come;
  return size;
}

std::vector<RequestId> AnswerQueue::Unanswered() const {
  std::vector<RequestId> ids;
  for (const Entry& entry : entries_) {
    bool answered = entry.answer && entry.value == Entry::Value::kWhole;
    if (entry.is_request && !answered) ids.push_back(entry.id);
  }
  return ids;
}

std::size_t AnswerQueue::RequestsBehindFirst() const {
  if (entries_.empty()) return 0;
  auto behind = std::ranges::count_if(entries_.begin() + 1, entries_.end(), &Entry::is_request);
  return static_cast<std::size_t>(behind);
}

}  // namespace peatbend::net
