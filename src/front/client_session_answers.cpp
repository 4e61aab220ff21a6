// The answers of a client session: taken in the order of the commands, written, and booked until the client
// has taken them.
#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>

#include "base/value_bounds.h"
#include "front/client_session.h"
#include "front/socket_state.h"

namespace peatbend::net {
namespace {
constexpr std::size_t kLeastUnsent = 32 * 1024, kMostUnsent = 256 * 1024;  // of an answer; the member waits
constexpr std::size_t kOwedBytes = 1280;  // that an answer owed takes, but for a long one's bytes
}  // namespace

void ClientSession::Say(std::string_view answer) { owed_.AddAnswer(answer); }

void ClientSession::Serve(std::uint64_t place, evbuffer* value) {
  owed_.Serve(place, value);
  Flush();
}

void ClientSession::Reject(std::uint64_t place, Duration come_back) {
  owed_.Reject(place, come_back);
  Flush();
}

void ClientSession::Fail(std::uint64_t place) {
  owed_.Fail(place);
  Flush();
}

void ClientSession::HoldValue(std::uint64_t place, std::size_t length) {
  owed_.HoldValue(place, length);
  LeaveUnread();
}

std::size_t ClientSession::CommandsBehind(std::uint64_t place) const {
  std::size_t taken = owed_.next_place() - place - 1;
  bool more = body_ || evbuffer_get_length(bufferevent_get_input(socket_.get())) > 0;
  return taken + (more ? 1 : 0);
}

void ClientSession::BeginValue(std::uint64_t place, std::size_t length) {
  owed_.BeginValue(place, length);
  LeaveUnread();
}

bool ClientSession::IsNext(std::uint64_t place) const {
  return owed_.IsFirst(place) && evbuffer_get_length(bufferevent_get_output(socket_.get())) == 0;
}

bool ClientSession::AppendChunk(std::uint64_t place, evbuffer* bytes) {
  owed_.AddPiece(place, bytes);
  Flush();
  bool unwritten = evbuffer_get_length(bufferevent_get_output(socket_.get())) > 0;
  if (owed_.IsFirst(place) && !unwritten) return true;  // Written() would not be called to wake it
  if (memory_.size() < std::clamp(home_.memory().free() / 8, kLeastUnsent, kMostUnsent)) return true;
  owed_.PauseValue(place);
  return false;
}

// Tells a value that broke off from what goes down with it.
void ClientSession::CountCut() {
  std::size_t behind = owed_.RequestsBehindFirst();
  ++counters_.values_cut;
  counters_.requests_behind_cut += behind;
  log_.Line("value cut", fmt::format("{} requests behind it are not answered, {} bytes before it not written",
                                     behind, evbuffer_get_length(bufferevent_get_output(socket_.get()))));
}

// A value that is not whole ends the connection; where none of it was handed out, an error can still be told.
void ClientSession::EndValue(std::uint64_t place, bool whole) {
  if (whole) {
    owed_.EndValue(place);
    return Flush();
  }
  owed_.CutValue(place);
  if (owed_.IsFirst(place)) return EndAfterCut();
  Fail(place);
}

// The client is given what was answered before the value and what has come of it, then the end of the
// connection. Commands that were not read stay unread: it may send them again.
void ClientSession::EndAfterCut() {
  CountCut();
  for (RequestId id : owed_.Unanswered()) decision_.ClientLeft(id);
  owed_.Clear();
  last_call_ = true;
  read_pause_.Pause();
  begun_ = TimePoint::max();
  TakeNoMore();
  Account();
  BookUnsent();
  if (all_written()) Written();
}

// Bytes of answers that the client has not taken.
std::size_t ClientSession::Unsent() const {
  return evbuffer_get_length(bufferevent_get_output(socket_.get())) + owed_.bytes();
}

// What falls is returned before what grows is reserved, so that nothing counts twice.
void ClientSession::ReserveUnsent() {
  std::size_t unsent = Unsent();
  std::size_t written = evbuffer_get_length(bufferevent_get_output(socket_.get()));
  std::size_t queued = owed_.blocked() ? unsent - written : 0;
  queued_memory_.Set(std::min(queued, queued_memory_.size()));
  memory_.Set(unsent - queued);
  queued_memory_.Set(queued);
}

// Books what the client has not taken, and lets the answer that is next now be read on.
void ClientSession::BookUnsent() {
  owed_memory_.Set(owed_.size() * kOwedBytes);
  ReserveUnsent();
  if (!owed_.empty()) home_.memory().Recheck();
}

// Writes the answers that are there, up to the first that is not whole, as one piece.
void ClientSession::Flush() {
  if (BufferPtr out = owed_.TakeReady()) {
    quiet_since_ = last_written_ = clock_.Now();
    // Where the session waits to hear that all is written, the bufferevent has to write, for it tells.
    bool told = closing_ || owed_.first_paused() || owed_.first_held() ||
                home_.doors().rest() != Doors::Rest::kStays || (read_pause_.paused() && !leaves_unread_);
    if (told) {
      Queue(socket_.get(), out.get());
    } else {
      WriteNow(socket_.get(), out.get());
    }
  }
  BookUnsent();
  if (leaves_unread_ && !owed_.value_unfinished()) ReadOnSoon();
}

void ClientSession::Written() {  // all that was to be written is
  last_written_ = clock_.Now();
  BookUnsent();
  if (auto held = owed_.first_held()) decision_.ReviewValue(*held);
  if (owed_.first_paused()) return decision_.ResumeStream(owed_.ResumeFirst());
  if (closing_ && owed_.empty()) {
    // Not closed yet, lest a reset overtake the answer. What comes after a last call stays unread: its client
    // may send it again. What comes after a malformed command can't be told apart; it is read and dropped.
    shutdown(bufferevent_getfd(socket_.get()), SHUT_WR);
    turned_away_ = clock_.Now();
    return;
  }
  if (!closing_ && !waits_for_room_ && read_pause_.paused() && !Crowded()) {
    if (!last_call_) read_pause_.Resume();
    Read();
  }
  if (home_.doors().rest() != Doors::Rest::kStays && at_rest()) home_.AtRest(*this);
}

ClientSession::Delivery ClientSession::BoundDelivery(TimePoint now) {
  if (turned_away_ != TimePoint::max()) {  // all is with the system
    bool takes = HasUnacknowledged(bufferevent_getfd(socket_.get())) && now < due();
    return takes ? Delivery::kGoesOn : Delivery::kNone;
  }
  std::size_t left = Unsent() + owed_.bytes_to_come();
  if (left == 0 && !owed_.value_unfinished()) return Delivery::kNone;
  if (deliver_until_ == TimePoint::max()) deliver_until_ = now + kValueStall + TimeAtLeastRate(left);
  return now < deliver_until_ ? Delivery::kGoesOn : Delivery::kOverdue;
}

// What the client takes is free for other answers at once, not only when it has taken all.
void ClientSession::OnOutputChanged(evbuffer*, const evbuffer_cb_info* change, void* self) {
  auto* session = static_cast<ClientSession*>(self);
  if (change->n_deleted > 0 && session->memory_.size() > kLeastUnsent) session->ReserveUnsent();
}

}  // namespace peatbend::net
