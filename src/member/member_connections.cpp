#include "member/member_connections.h"

#include <algorithm>

namespace peatbend::net {
namespace {
constexpr int kMostSpares = 4;  // connections to a server that were dialled ahead
}

MemberConnections::MemberConnections(event_base* base, const Settings& settings,
                                     const Tuning::Members& tuning, SocketBudget& sockets,
                                     MemoryBudget& memory, const Clock& clock, Log& log, Counters& counters)
    : base_(base),
      settings_(settings),
      tuning_(tuning),
      sockets_(sockets),
      answer_memory_(base, memory),
      clock_(clock),
      log_(log),
      counters_(counters) {}

void MemberConnections::Learn(Scope scope, const std::vector<ServerListEntry>& entries) {
  if (scope == Scope::kFull || scope == Scope::kCached) {
    for (auto& [name, member] : members_) member.gone = true;
  }
  for (const ServerListEntry& entry : entries) {
    Member& member = members_[entry.entry.id.name];
    member.name = entry.entry.id.name;
    member.gone = entry.entry.state == ServerState::kGone;
    member.draining = entry.entry.state == ServerState::kDraining;
    member.origin = settings_.cache_aside && entry.entry.kind == settings_.origin_kind;
    bool moved = !entry.address.empty() && entry.address != member.address;
    if (moved) {
      member.address = entry.address;
      member.to = entry.to;
      member.to_size = entry.to_size;
    }
    // What stands open leads to another process, or to one that gets nothing new. An older start is a late
    // list's.
    bool other_process = moved || entry.entry.started > member.started;
    if (other_process || entry.entry.state != ServerState::kReady) Outdate(member);
    if (other_process) {
      member.unsolicited_bytes = member.single_use = false;
      member.lengths_repeat = member.receipts_differ = member.answers_differ = false;
      member.last_receipt.reset();
    }
    member.started = std::max(member.started, entry.entry.started);
  }
  for (auto& [name, member] : members_) BoundBegins(member);
  for (auto at = members_.begin(); at != members_.end();) DropIfGone((at++)->second);
}

// What still dials when its member is told to drain or gone would be written whenever the connection came up:
// the customer's dial timeout may be longer than the grace. Counted from the first time that it is told.
void MemberConnections::BoundBegins(Member& member) {
  if (!member.gone && !member.draining) {
    member.begin_until = TimePoint::max();
    return;
  }
  if (member.begin_until != TimePoint::max()) return;
  member.begin_until = clock_.Now() + settings_.drain_grace;
  for (auto& connection : member.connections) connection->BeginBy(member.begin_until);
}

void MemberConnections::DropIfGone(Member& member) {
  if (!member.gone) return;
  CloseIdle(member.name);
  if (member.connections.empty()) members_.erase(std::string(member.name));
}

MemberConnection* MemberConnections::Begin(Attempt& attempt, const Request& request, AttemptLimits limits) {
  auto found = members_.find(attempt.member());
  if (found == members_.end() || found->second.to_size == 0) {
    log_.Line("member unknown", attempt.member());
    return nullptr;
  }
  Member& member = found->second;
  if (clock_.Now() > member.begin_until) return nullptr;
  MemberConnection* connection = nullptr;
  ++counters_.attempts;
  if (member.origin) ++counters_.attempts_to_origin;
  if ((connection = TakeIdle(member, request)) != nullptr) {
    ++counters_.reused;
  } else {
    if (!MakeRoom()) {
      ++counters_.not_sent_no_socket;
      log_.Line("no socket", "a flow to " + member.name + " could not be sent");
      return nullptr;
    }
    connection = &NewConnection(member);
    if (!Dial(*connection)) return nullptr;
  }
  limits.begin_by = std::min({limits.begin_by, limits.deliver_by, member.begin_until});
  connection->Begin(attempt, request, limits);
  return connection;
}

MemberConnection& MemberConnections::NewConnection(Member& member) {
  ++counters_.dials;
  member.connections.push_front(
      std::make_unique<MemberConnection>(*this, member, member.origin ? NewOriginCodec() : NewMemberCodec()));
  member.connections.front()->self_ = member.connections.begin();
  return *member.connections.front();
}

// False: it could not even be asked for, and is closed.
bool MemberConnections::Dial(MemberConnection& connection) {
  const Member& member = connection.member_;
  Duration timeout =
      settings_.dial_timeout > Duration::zero() ? settings_.dial_timeout : Duration(tuning_.dial_timeout);
  if (connection.Dial(member.to, member.to_size, timeout)) return true;
  log_.Line("dial failed", member.name + " at " + member.address);
  Close(connection);
  return false;
}

void MemberConnections::DialSpare(Member& member) {
  auto unused = std::ranges::count_if(member.idle, [](auto* connection) { return connection->unused(); });
  bool wanted = !member.gone && !member.draining && unused < kMostSpares;
  if (!wanted || sockets_.in_use >= sockets_.max) return;
  MemberConnection& connection = NewConnection(member);
  if (Dial(connection)) connection.WaitForUse();
}

// The connection used last that has rested. Guards against bytes that belong to no answer (a second copy of
// the last one, noise): they would be read as the answer to the next request. One on which any have come is
// closed.
MemberConnection* MemberConnections::TakeIdle(Member& member, const Request& request) {
  // Where receipts may be alike, one could not be told from an earlier answer.
  bool alike = !member.receipts_differ && (!member.origin || member.last_receipt);
  bool fresh = member.single_use || (request.write && alike);
  TimePoint rested = clock_.Now() - SettleTime(member);
  for (std::size_t i = member.idle.size(); i-- > 0;) {
    MemberConnection* connection = member.idle[i];
    if (fresh && !connection->unused()) continue;
    if (!connection->unused() && connection->idle_since_ > rested) continue;
    SocketInput unread = connection->unread();
    if (unread == SocketInput::kNothing) {
      member.idle.erase(member.idle.begin() + static_cast<std::ptrdiff_t>(i));
      return connection;
    }
    ++counters_.closed_as_stray;
    if (unread == SocketInput::kBytes) connection->NoteUnsolicitedBytes();
    Close(*connection);
  }
  return nullptr;
}

// For which a connection stands idle after an answer before it is used again.
Duration MemberConnections::SettleTime(const Member& member) const {
  return member.unsolicited_bytes ? tuning_.settle_unsolicited : tuning_.settle;
}

void MemberConnections::Idle(MemberConnection& connection) {
  if (connection.member_.gone || connection.outdated_) return Close(connection);
  Duration idle = settings_.keepalive > Duration::zero() ? settings_.keepalive : Duration(tuning_.keepalive);
  connection.idle_since_ = clock_.Now();
  connection.member_.idle.push_back(&connection);
  connection.timer_.Set(
      Duration(static_cast<Duration::rep>(tuning_.idle_share * static_cast<double>(idle.count()))));
}

void MemberConnections::Close(MemberConnection& connection) {
  Member& member = connection.member_;
  std::erase(member.idle, &connection);
  member.connections.erase(connection.self_);
}

void MemberConnections::CloseIdle(const std::string& name) {
  auto found = members_.find(name);
  if (found == members_.end()) return;
  while (!found->second.idle.empty()) Close(*found->second.idle.back());
}

void MemberConnections::Outdate(Member& member) {
  CloseIdle(member.name);
  for (auto& connection : member.connections) connection->outdated_ = true;
}

void MemberConnections::CloseAllIdle() {
  for (auto& [name, member] : members_) {
    while (!member.idle.empty()) Close(*member.idle.back());
  }
}

std::size_t MemberConnections::held() const {
  std::size_t bytes = 0;
  for (const auto& [name, member] : members_) {
    for (const auto& connection : member.connections) bytes += connection->held();
  }
  return bytes;
}

// A place for one more socket, made by closing the connection that has stood idle longest if need be.
bool MemberConnections::MakeRoom() {
  if (sockets_.in_use < sockets_.max) return true;
  MemberConnection* oldest = nullptr;
  for (auto& [name, member] : members_) {
    if (member.idle.empty()) continue;
    MemberConnection* first = member.idle.front();
    if (oldest == nullptr || first->idle_since_ < oldest->idle_since_) oldest = first;
  }
  if (oldest == nullptr) return false;
  Close(*oldest);
  return true;
}

}  // namespace peatbend::net
