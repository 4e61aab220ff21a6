// One connection to a server: what an attempt writes on it, and how the answer is read.
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <xxhash.h>

#include <algorithm>

#include "base/socket_delivery.h"
#include "member/member_connections.h"

namespace peatbend::net {
namespace {
constexpr std::size_t kMostUnread = 128 * 1024;  // bytes read ahead of what is taken
}  // namespace

MemberConnection::MemberConnection(MemberConnections& home, Member& member,
                                   std::unique_ptr<ServerCodec> codec)
    : home_(home),
      member_(member),
      codec_(std::move(codec)),
      answer_memory_(
          home.answer_memory_, [this] { return attempt_->AnswerIsNext(); }, [this] { ReadOn(); }),
      timer_(home.base_, [this] { OutOfTime(); }) {
  ++home_.sockets_.in_use;
}

// A request that is given up, or answered before its server has received it, must not arrive later.
MemberConnection::~MemberConnection() {
  --home_.sockets_.in_use;
  if (begun_) SetResetOnClose(bufferevent_getfd(socket_.get()), !delivered());
}

bool MemberConnection::Dial(const sockaddr_storage& address, int size, Duration timeout) {
  socket_.reset(bufferevent_socket_new(home_.base_, -1, BEV_OPT_CLOSE_ON_FREE));
  if (!socket_) return false;
  read_pause_.emplace(socket_.get(), [this] {
    if (EndedShort()) Break();
  });
  bufferevent_setcb(socket_.get(), OnRead, OnWritten, OnEvent, this);
  if (bufferevent_socket_connect(socket_.get(), reinterpret_cast<const sockaddr*>(&address), size) != 0) {
    return false;
  }
  int yes = 1;
  setsockopt(bufferevent_getfd(socket_.get()), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
  up_by_ = home_.clock_.Now() + timeout;
  return true;
}

void MemberConnection::Begin(Attempt& attempt, const Request& request, const AttemptLimits& limits) {
  attempt_ = &attempt;
  request_ = &request;
  key_hash_ = XXH3_64bits(request.key.data(), request.key.size());
  deadline_ = home_.clock_.Now() + limits.timeout;
  begun_ = dispatched_ = passing_value_ = paused_ = false;
  begin_by_ = limits.begin_by;
  deliver_by_ = limits.deliver_by;
  if (!connected_) return ArmDialTimer();
  timer_.Stop();
  Write();
}

void MemberConnection::WaitForUse() {
  begin_by_ = TimePoint::max();
  ArmDialTimer();
}

void MemberConnection::BeginBy(TimePoint latest) {
  if (connected_ || latest >= begin_by_) return;
  begin_by_ = latest;
  ArmDialTimer();
}

void MemberConnection::DeliverBy(TimePoint latest) {
  if (latest >= deliver_by_) return;
  deliver_by_ = latest;
  if (begun_) timer_.Set(deliver_by_ - home_.clock_.Now());
}

void MemberConnection::ArmDialTimer() { timer_.Set(std::min(up_by_, begin_by_) - home_.clock_.Now()); }

// Encoded now, not when the dial began: what the server is told of the time is what is left.
void MemberConnection::Write() {
  begun_ = true;
  begun_at_ = home_.clock_.Now();
  if (deliver_by_ != TimePoint::max()) timer_.Set(deliver_by_ - begun_at_);
  // Set ahead for a process that is killed: the kernel would go on delivering what it has taken.
  if (request_->write) SetResetOnClose(bufferevent_getfd(socket_.get()), true);
  BufferPtr text = NewBuffer();
  codec_->Encode(*request_, deadline_ - begun_at_, text.get());
  if (WriteShared(socket_.get(), text.get())) Written();
}

// What was begun is with the socket, whole: counted once.
void MemberConnection::Written() {
  if (attempt_ == nullptr || !written() || std::exchange(dispatched_, true)) return;
  ++home_.counters_.dispatches;
}

SocketInput MemberConnection::unread() const { return PeekInput(bufferevent_getfd(socket_.get())); }

bool MemberConnection::written() const {
  return begun_ && evbuffer_get_length(bufferevent_get_output(socket_.get())) == 0;
}

bool MemberConnection::delivered() const {
  return written() && UnacknowledgedBytes(bufferevent_getfd(socket_.get())) == 0;
}

std::size_t MemberConnection::held() const {
  return attempt_ == nullptr ? 0 : codec_->Held(bufferevent_get_input(socket_.get()));
}

void MemberConnection::Abandon() {
  attempt_ = nullptr;
  home_.Close(*this);
}

void MemberConnection::Read() {
  Written();                             // an answer may be read before the loop tells of the write
  if (attempt_ == nullptr || !begun_) {  // nobody asked
    ++home_.counters_.closed_as_stray;
    NoteUnsolicitedBytes();
    return Break();
  }
  if (paused_) return;
  auto reply = codec_->Read(bufferevent_get_input(socket_.get()));
  if ((!reply || passing_value_) && !PassOn(reply ? reply->value.get() : nullptr)) return;
  if (!reply) return ReserveHeld();
  AnswerCheck check = Check(*reply);
  if (check == AnswerCheck::kDrop) return DropCopy();
  Complete(std::move(*reply), check == AnswerCheck::kTakeAsLast);
}

// An answer with the content of an earlier one on the connection may be that one's copy. For the same key it
// is what is expected, unless the server's answers to a key differ. What neither is served nor says that a
// write never ran does no harm, whosesoever it is, but the connection carries nothing more.
MemberConnection::AnswerCheck MemberConnection::Check(const FlowReply& reply) const {
  if (reply.large || !reply.complaint.empty()) return AnswerCheck::kTake;
  auto earlier = answers_.WithContent(reply.fingerprint, home_.clock_.Now());
  if (!earlier) return AnswerCheck::kTake;
  bool good = reply.result == Result::kGood;
  bool same_key = earlier->key == key_hash_ && !request_->write;
  if (good && same_key && !member_.answers_differ) return AnswerCheck::kTake;
  const ClassSettings& cls = home_.settings_.classes[static_cast<std::size_t>(request_->cls)];
  return cls.effect == Effect::kSafe && !good ? AnswerCheck::kTakeAsLast : AnswerCheck::kDrop;
}

// What is learned of the server from an answer that is the request's.
void MemberConnection::Remember(const FlowReply& reply) {
  TimePoint now = home_.clock_.Now();
  bool good = reply.result == Result::kGood;
  if (good && request_->write) {
    member_.receipts_differ |= member_.last_receipt && *member_.last_receipt != reply.fingerprint;
    member_.last_receipt = reply.fingerprint;
  }
  auto earlier = answers_.ForKey(key_hash_, now);
  if (good && !request_->write && earlier)
    member_.answers_differ |= earlier->fingerprint != reply.fingerprint;
  answers_.Add({reply.fingerprint, key_hash_, now});
}

// The answer may be another request's: it is not served, and the server's connections carry one request each
// from now on.
void MemberConnection::DropCopy() {
  ++home_.counters_.answers_dropped;
  member_.single_use = true;
  home_.log_.Line("answer dropped", fmt::format("{} may have answered twice: not taken for request {}, and "
                                                "one request a connection from now on",
                                                member_.name, request_->id));
  Break();
}

// Large values are told apart by their length alone: they are passed on before they are whole. One of the
// same length as an earlier one on the connection is not taken, and from then on each is its connection's
// last.
bool MemberConnection::RepeatsLargeValue() {
  std::optional<std::size_t> length = codec_->Streams();
  if (!length || !answers_.WithContent(*length, home_.clock_.Now())) return false;
  ++home_.counters_.answers_dropped;
  member_.lengths_repeat = true;
  home_.log_.Line("answer dropped", member_.name + ": a large value as long as one before on the connection");
  return true;
}

void MemberConnection::Complete(FlowReply reply, bool last) {
  Remember(reply);
  bool more = evbuffer_get_length(bufferevent_get_input(socket_.get())) > 0;
  if (more) NoteUnsolicitedBytes();
  last |= !codec_->reusable() || !delivered() || more || answers_.full();
  last |= member_.single_use || (reply.large && member_.lengths_repeat);
  last |= request_->write && !member_.receipts_differ;  // no write would use it again
  bool wants_spare = member_.single_use && !more;
  MemberConnections& home = home_;
  Member& member = member_;
  Finish(std::move(reply), !last);
  if (wants_spare) home.DialSpare(member);
}

// Reserves memory for what is held of an answer that is passed on once it is whole. Without room for more of
// it, it is left to the server until there is.
void MemberConnection::ReserveHeld() {
  if (passing_value_ || answer_memory_.Grow(held(), codec_->MostHeld())) return;
  Pause();
  attempt_->AnswerWaits(true);
}

void MemberConnection::ReadOn() {
  attempt_->AnswerWaits(false);
  Resume();
}

// A server that has answered a request twice may do so again, and later: its connections settle for longer
// before they are used again, until it moves or starts anew.
void MemberConnection::NoteUnsolicitedBytes() {
  if (member_.unsolicited_bytes) return;
  member_.unsolicited_bytes = true;
  home_.log_.Line("unsolicited bytes", member_.name + " has sent some that answer no request");
}

// Passes on what has come of a large value, `last` being the rest of it; false if the connection is gone, or
// is to wait.
bool MemberConnection::PassOn(evbuffer* last) {
  if (!passing_value_) {
    if (!codec_->Streams()) return true;
    if (RepeatsLargeValue()) return Break(), false;
    if (!DecideDelivery()) return false;
    if (!passing_value_) return true;
  }
  BufferPtr piece = NewBuffer();
  if (last != nullptr) {
    evbuffer_add_buffer(piece.get(), last);
  } else {
    codec_->Pass(piece.get());
  }
  bool gone = false;
  if (evbuffer_get_length(piece.get()) == 0 || attempt_->Piece(piece.get(), gone)) return true;
  if (gone) return false;
  Pause();
  return true;
}

// Whether the answer will never be whole: its server has ended the connection, and what the kernel holds is
// less than what its large value lacks.
bool MemberConnection::EndedShort() const {
  evutil_socket_t socket = bufferevent_getfd(socket_.get());
  if (!codec_->Streams() || !PeerClosed(socket)) return false;
  std::size_t unread = UnreadBytes(socket);
  return unread == 0 ||
         evbuffer_get_length(bufferevent_get_input(socket_.get())) + unread < codec_->Missing();
}

// Asks what becomes of a large value of which nothing was passed on; false if the connection is gone, or is
// to wait. The loop does not tell of an end while the socket is not read.
bool MemberConnection::DecideDelivery() {
  if (EndedShort()) return Break(), false;
  using enum Attempt::ValueStep;
  switch (attempt_->LargeValue(*codec_->Streams())) {
    case kGone:
      return false;
    case kLeaveUnread:
      return Pause(), false;
    case kHold:
      return true;
    case kPassOn:
      break;
  }
  passing_value_ = true;
  answer_memory_.Reset();  // its client's session books what it is given
  bufferevent_setwatermark(socket_.get(), EV_READ, 0, kMostUnread);
  if (std::exchange(paused_, false)) read_pause_->Resume();
  return true;
}

void MemberConnection::ReviewValue() {
  if (attempt_ == nullptr || passing_value_) return;
  bool left_unread = paused_ && !answer_memory_.waits();
  if (left_unread) return Resume();
  PassOn(nullptr);  // keeps its turn for memory, unless it is passed on
}

// What is passed on goes to its client as far as it has come, whatever follows.
void MemberConnection::Pause() {
  paused_ = true;
  if (!passing_value_) return read_pause_->Pause();
  bufferevent_disable(socket_.get(), EV_READ);
}

void MemberConnection::Resume() {
  if (!std::exchange(paused_, false)) return;
  read_pause_->Resume();
  Read();
}

void MemberConnection::Finish(FlowReply reply, bool keep) {
  if (!reply.complaint.empty()) {
    ++home_.counters_.member_malformed;
    home_.log_.Line("member malformed", member_.name + ": " + std::string(reply.complaint));
  }
  if (std::exchange(passing_value_, false)) bufferevent_setwatermark(socket_.get(), EV_READ, 0, 0);
  if (std::exchange(paused_, false)) read_pause_->Resume();
  if (reply.value) reply.memory = answer_memory_.Take(evbuffer_get_length(reply.value.get()));
  answer_memory_.Reset();
  Attempt* attempt = std::exchange(attempt_, nullptr);
  keep ? home_.Idle(*this) : home_.Close(*this);
  attempt->Answered(std::move(reply));
}

void MemberConnection::Happened(short what) {
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    TimePoint latest = attempt_ == nullptr ? up_by_ : std::min(begin_by_, deadline_);
    if (home_.clock_.Now() > latest) return OutOfTime();  // the loop has not got round to the timer
    connected_ = true;
    timer_.Stop();
    return attempt_ == nullptr ? home_.Idle(*this) : Write();
  }
  if ((what & BEV_EVENT_EOF) != 0 && attempt_ != nullptr) {
    if (auto reply = codec_->ReadAtEnd()) return Finish(std::move(*reply), false);
  }
  Break();
}

// The connection did not come up in time, its request was not delivered in time, or it has stood idle long
// enough. One that is too late for its attempt alone is no failure to connect: the module counts those
// against the server.
void MemberConnection::OutOfTime() {
  if (attempt_ != nullptr && begun_) return CheckDelivery();
  if (attempt_ == nullptr || begin_by_ > up_by_) return Break();
  Attempt* attempt = std::exchange(attempt_, nullptr);
  home_.Close(*this);
  attempt->TooLate();
}

void MemberConnection::CheckDelivery() {
  if (delivered()) return;
  ReportUndelivered();
  Attempt* attempt = std::exchange(attempt_, nullptr);
  home_.Close(*this);
  attempt->Undelivered();
}

// Tells what the router still has to send from what the kernel has to deliver.
void MemberConnection::ReportUndelivered() {
  ++home_.counters_.undelivered;
  std::size_t queued = evbuffer_get_length(bufferevent_get_output(socket_.get()));
  std::size_t unacknowledged = UnacknowledgedBytes(bufferevent_getfd(socket_.get()));
  auto age = std::chrono::duration_cast<Milliseconds>(home_.clock_.Now() - begun_at_);
  home_.log_.Line("undelivered",
                  fmt::format("{} has not received a request in time: {} bytes of value, {} ms after the "
                              "first byte {} are queued and {} unacknowledged",
                              member_.name, ValueSize(*request_), age.count(), queued, unacknowledged));
}

void MemberConnection::Break() {
  bool sent = attempt_ != nullptr && written();
  Attempt* attempt = std::exchange(attempt_, nullptr);
  home_.Close(*this);
  if (attempt != nullptr) attempt->Broken(sent);
}

}  // namespace peatbend::net
