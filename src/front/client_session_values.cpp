// The values of a client's writes: booked before they are read, waited for, or refused and dropped.
#include <algorithm>

#include "base/value_bounds.h"
#include "front/client_session.h"

namespace peatbend::net {
namespace {
constexpr std::size_t kRequestBytes = 1536;  // that an open request takes, but for its text
// Bytes of a command that any client may have sent, but for its value.
constexpr std::size_t kFreeHead = 8 * 1024;
// A buffer that grows holds up to twice its bytes.
constexpr std::size_t kHeadFactor = 2;
}  // namespace

// The command that the parser has read; the value of one that came as a body is there already.
ClientCommand ClientSession::ReadWhole(std::string_view buffer) {
  if (!body_) return ReadCommand(parser_.message(), buffer, settings_);
  bool refused = !body_->request;
  using Kind = ClientCommand::Kind;
  ClientCommand command{refused ? Kind::kRefused : Kind::kRequest, std::move(body_->request), {}};
  body_.reset();
  return command;
}

// A long value comes next. What stands before it is read now, so that a command that cannot be used is told
// before its value has come. True if the rest may be read on.
bool ClientSession::BeginBody(std::string_view buffer) {
  resp::Message message = parser_.message();
  message.items.push_back({});
  message.size = parser_.head_size();
  ClientCommand command = ReadCommand(message, buffer, settings_);
  if (command.kind != ClientCommand::Kind::kRequest) {
    bool malformed = command.kind == ClientCommand::Kind::kMalformed;
    return Malformed(malformed ? command.complaint : "a value that does not belong to the command"), false;
  }
  MemoryReservation memory(home_.memory(), MemoryUse::kRequests);
  if (!ReserveBody(memory)) {
    TimePoint now = clock_.Now();
    if (room_since_ == TimePoint::max()) room_since_ = now;
    bool ends = last_call_ || refuses_waiting_;
    RoomFacts facts{.waited = now - room_since_, .limit = command.request->remaining, .ends = ends};
    if (DecideRoom(facts) == RoomDecision::kRefuse) return RefuseBody(), true;
    if (!std::exchange(waits_for_room_, true)) home_.WaitForRoom(*this);
    read_pause_.Pause();
    return false;
  }
  EndWait();
  body_.emplace(Body{std::move(command.request), parser_.body_size(), parser_.body_size()});
  body_->request->memory = std::move(memory);
  body_->request->body = NewBuffer();
  evbuffer_drain(bufferevent_get_input(socket_.get()), parser_.head_size());
  return true;
}

bool ClientSession::ReserveBody(MemoryReservation& memory) {
  std::size_t size = parser_.body_size();
  if (size <= resp::kMaxValue && !home_.HasRoomForIncomplete(size)) return false;
  return memory.TryValue(size);
}

// The answer comes now: the client need not wait until it has sent a value that nobody takes.
void ClientSession::RefuseBody() {
  EndWait();
  ++counters_.refused_for_memory;
  log_.Line("refused",
            "a write of " + std::to_string(parser_.body_size()) + " bytes: no memory for its value");
  owed_.AddRejection(std::min(kRoomRetryAfter, settings_.max_retry_after));
  asked_ = true;
  body_.emplace(Body{nullptr, parser_.body_size(), parser_.body_size()});
  evbuffer_drain(bufferevent_get_input(socket_.get()), parser_.head_size());
}

void ClientSession::EndWait() {
  room_since_ = TimePoint::max();
  if (std::exchange(waits_for_room_, false)) home_.StopWaiting(*this);
}

// Moves or drops what has come of the value; false if more of it is to come.
bool ClientSession::TakeBody(evbuffer* in) {
  if (body_->left > 0) {
    std::size_t take = std::min(body_->left, evbuffer_get_length(in));
    if (body_->request) {
      MoveCompact(in, body_->request->body.get(), take);
    } else {
      evbuffer_drain(in, take);
    }
    body_->left -= take;
    if (body_->left > 0) return false;
    parser_.BodyConsumed();
  }
  return true;
}

bool ClientSession::TryAgain() {
  if (last_call_ || !waits_for_room_) return true;
  read_pause_.Resume();
  Read();
  return !waits_for_room_;
}

void ClientSession::RefuseWaiting() {
  refuses_waiting_ = true;
  TryAgain();
  refuses_waiting_ = false;
}

// The request and its text are booked until it has ended. Where there is no memory it is rejected.
void ClientSession::BookText(Request& request) {
  request.command_memory = MemoryReservation(home_.command_memory(), MemoryUse::kRequests);
  std::size_t size = kRequestBytes + std::min(request.text.size(), kLongValue);
  request.no_memory = !request.command_memory.Try(size);
  if (request.no_memory || request.body || request.text.size() <= kLongValue) return;
  request.memory = MemoryReservation(home_.memory(), MemoryUse::kRequests);
  request.no_memory = !request.memory.Try(request.text.size());
}

// Whether there is memory for what has come of a command, apart from its value.
bool ClientSession::HeadFits() {
  std::size_t size = evbuffer_get_length(bufferevent_get_input(socket_.get()));
  if (size <= kFreeHead || waits_for_room_ || Crowded()) return head_memory_.Set(0), true;
  return head_memory_.Try(kHeadFactor * size);
}

// What others wait for: all of a value that is not whole, if it is short enough to be counted, or the bytes
// of a command that have come.
void ClientSession::Account() {
  bool counted = body_ && body_->request && body_->size <= resp::kMaxValue;
  std::size_t head = half_sent() ? evbuffer_get_length(bufferevent_get_input(socket_.get())) : 0;
  std::size_t now = counted ? body_->size : head;
  home_.Unread(std::exchange(unread_, now), now);
}

}  // namespace peatbend::net
