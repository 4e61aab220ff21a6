#include "stage/server_side_flow.h"

#include "member/member_connections.h"

namespace peatbend::net {
namespace {
constexpr std::chrono::seconds kSilence{6};  // in the middle of a value: the member has gone without a word
}  // namespace

ServerSideFlow::~ServerSideFlow() {
  if (connection_ != nullptr) connection_->Abandon();
}

void ServerSideFlow::Start(MemberConnections& connections, const Request& request, Duration limit,
                           TimePoint begin_by) {
  started_ = clock_.Now();
  if (limit <= Duration::zero() || started_ > begin_by) return EndWith(Result::kNeverSent);
  connections_ = &connections;
  connection_ = connections.Begin(*this, request, {.deadline = started_ + limit, .begin_by = begin_by});
  if (connection_ == nullptr) return EndWith(Result::kNoConn);
  limit_.Set(limit);
}

bool ServerSideFlow::Began(std::size_t length) {
  began_ = clock_.Now();
  if (!owner_.FlowBegan(*this, length)) return Cancel(), false;
  limit_.Set(kSilence);
  return true;
}

bool ServerSideFlow::Piece(evbuffer* bytes, bool& gone) {
  switch (owner_.FlowPiece(*this, bytes)) {
    case FlowOwner::Next::kMore:
      limit_.Set(kSilence);
      return true;
    case FlowOwner::Next::kWait:
      limit_.Stop();
      return false;
    case FlowOwner::Next::kNotWanted:
      break;
  }
  gone = true;
  Cancel();
  return false;
}

void ServerSideFlow::GoOn() {
  if (ended_ || connection_ == nullptr) return;
  limit_.Set(kSilence);
  connection_->Resume();
}

void ServerSideFlow::Cancel() {
  if (ended_) return;
  Result result = dialling() ? Result::kNeverSent : Result::kCancelled;
  LeaveConnection();
  EndWith(result);
}

bool ServerSideFlow::dialling() const { return connection_ != nullptr && !connection_->begun(); }

// What was not written whole by now never ran: to the module that is a connection that did not come up. Where
// a written one got no word, the member's idle connections may be as dead: closed, so that the next flow
// dials and is told soon. Guards against members lost without a word, which TCP does not tell.
void ServerSideFlow::OutOfTime() {
  bool written = LeaveConnection();
  if (written) connections_->CloseIdle(member_);
  EndWith(written ? Result::kLate : Result::kNoConn);
}

// Closes the connection, which tells the member that nobody waits; returns whether the request was written.
bool ServerSideFlow::LeaveConnection() {
  bool written = connection_->written();
  std::exchange(connection_, nullptr)->Abandon();
  return written;
}

void ServerSideFlow::EndWith(Result result) {
  FlowReply reply;
  reply.result = result;
  End(std::move(reply));
}

void ServerSideFlow::End(FlowReply reply) {
  if (std::exchange(ended_, true)) return;
  connection_ = nullptr;
  limit_.Stop();
  owner_.FlowEnded(*this, std::move(reply));
}

}  // namespace peatbend::net
