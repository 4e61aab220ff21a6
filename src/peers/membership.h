// Fleet membership: SWIM (Das, Gupta, Motivala, 2002) with suspicion, indirect probes and the local health of
// Lifeguard (Dadgar, Phillips, Currey, 2017). Performs no I/O and reads no clock: the caller passes the time,
// seeds the random generator and sends the returned messages. Not thread-safe. docs/design/peers.md explains
// the design; docs/peers.md is for operators.
//
//   joining --a seed answered, or there are no seeds--> member --Leave--> left
//   joining, member --another address uses the name--> name conflict --no answer from it--> member
//   name conflict --the other process is alive and older--> refused --after a delay--> joining
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "peers/message.h"
#include "peers/record.h"

namespace peatbend::peers {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::nanoseconds;  // on a clock that advances while the process is stopped

using namespace std::chrono_literals;

struct Options {
  std::string fleet;
  Duration probe_interval = 200ms;
  Duration probe_timeout = 100ms;  // without an ack for this long, indirect probes are requested
  int indirect_probes = 3;         // members asked to probe on this one's behalf
  Duration gossip_interval = 100ms;
  int fanout = 3;  // members that receive each round of gossip
  // Time to refute a suspicion: with enough independent confirmations, and with none.
  Duration suspicion_min = 700ms, suspicion_max = 1400ms;
  Duration stall_threshold = 400ms;   // a longer gap between two steps means that the process was stopped
  Duration join_interval = 500ms;     // between attempts to join; a member contacts seeds a quarter as often
  Duration conflict_timeout = 1s;     // for another process with the same name to answer
  Duration refused_retry_delay = 5s;  // until a process whose name was refused joins again
  Duration dead_probe_interval = 500ms;  // between probes of dead members
  Duration sync_delay = 600ms;  // how long digests differ before a table is sent; twice that between tables
  Duration forget_dead_after = 3600s;
  std::size_t max_members = 1024;
};

// How far this process may rely on its own membership.
// Confirmed: within `suspicion_min`, and since its last stall, a peer acknowledged that it sees this process
// as present. An isolated process is therefore unconfirmed before its peers can declare it dead. Only member:
// it is a member and knows no others. Callers check this before they act; an action that must happen at most
// once needs more than this status.
enum class SelfStatus { kConfirmed, kOnlyMember, kUnconfirmed, kNotMember };
constexpr const char* kSelfStatusNames[] = {"sure", "alone", "unsure", "out"};

struct Outgoing {
  std::string to;  // ADDRESS:PORT
  Message message;
  bool stream = false;  // join and table messages: sent over a stream, and answered on it with a table
};

// How a message arrived: as a datagram, on a stream that the sender opened, or as the answer on a stream that
// this process opened.
enum class Transport { kDatagram, kStreamRequest, kStreamReply };

struct Metrics {
  std::uint64_t probes = 0, missed = 0, suspected = 0, refuted = 0, deaths = 0, rebirths = 0, stalls = 0,
                replayed = 0, former = 0, joins = 0, tables = 0, over = 0;
};

class Membership {
 public:
  enum class Phase { kJoining, kMember, kNameConflict, kRefused, kLeft };
  // Reports a new or changed member; `before` is null if the member was unknown.
  using ChangeCallback = std::function<void(const Record* before, const Record& now)>;
  using LogCallback = std::function<void(const std::string& text)>;

  // `self.generation` must be higher than in earlier starts of this process. `seeds` are addresses of fleet
  // members; the own address among them is ignored. Without seeds the process is a member at once.
  Membership(Options options, Record self, std::vector<std::string> seeds, std::uint64_t random,
             TimePoint now, ChangeCallback on_change = {}, LogCallback on_log = {});

  // Performs all due work, and detects whether the process was stopped since the last call.
  void Step(TimePoint now, std::vector<Outgoing>& out);
  // The latest time for the next Step.
  TimePoint Due() const;
  // Handles a message. Returns the answer to send on the same stream, if any.
  std::optional<Message> Receive(TimePoint now, const Message& message, Transport transport,
                                 std::vector<Outgoing>& out);
  // Announces the departure and stops probing. Keep calling Step for a while to spread the announcement.
  void Leave(TimePoint now, std::vector<Outgoing>& out);
  void SetMetadata(std::string metadata);

  SelfStatus StatusAt(TimePoint now) const;
  Phase phase() const { return phase_; }
  const Record& self() const { return self_; }
  struct Member {
    Record record;
    TimePoint last_ack{};            // received directly since the last stall; zero: none
    TimePoint state_since{};         // when the state or generation last changed
    TimePoint suspicion_deadline{};  // a suspect is declared dead then
    std::set<std::string> suspectors;
    std::uint64_t highest_sequence = 0;  // received in this generation
    std::uint64_t sequence_window = 0;   // bit i: highest_sequence - i was received
  };
  const std::map<std::string, Member>& members() const { return members_; }  // without this process
  std::size_t present() const { return present_; }  // includes this process if it is a member
  std::uint64_t Digest() const { return digest_; }  // hash of all present members
  std::size_t pending_gossip() const { return gossip_.size(); }
  const Metrics& metrics() const { return metrics_; }
  // Lifeguard's local health score, 0 is healthy. Probe interval and timeout are multiplied by 1 + health.
  int health() const { return health_; }

 private:
  struct Probe {
    std::string name;
    std::uint64_t generation = 0;
    TimePoint indirect_at{}, deadline{};
    bool indirect_sent = false;
    int missing_nacks = 0;   // helpers that answered neither with an ack nor with a nack
    bool scheduled = false;  // from the regular rotation; the others check a suspicion
  };
  struct Relay {  // a ping sent on behalf of another member
    std::string to;
    std::uint64_t probe = 0;
    TimePoint deadline{};
  };
  struct GossipItem {
    Record record;
    int sent = 0;
  };
  struct NameConflict {  // another process uses this one's name
    Record record;
    bool was_member = false;  // this process was a member when it learned of the conflict
    TimePoint deadline{}, next_ping{};
  };

  bool DetectStall(TimePoint now);
  // Recomputes the digest and the member counts; call it after each change of a record.
  void UpdateDigest();
  Message MakeMessage(MessageKind kind);  // without gossip
  Message MakeGossip(MessageKind kind);
  void QueueDatagram(std::vector<Outgoing>& out, const std::string& to, Message message);
  void AddGossip(Message& message);
  void QueueGossip(const Record& record);
  void QueueSelfGossip();
  int MaxTransmissions() const;
  Duration ScaledByHealth(Duration duration) const { return duration * (1 + health_); }
  void AdjustHealth(int step);

  void StepProbes(TimePoint now, std::vector<Outgoing>& out);
  void StepGossip(TimePoint now, std::vector<Outgoing>& out);
  void StepSuspects(TimePoint now);
  void StepJoin(TimePoint now, std::vector<Outgoing>& out);
  void StepNameConflict(TimePoint now, std::vector<Outgoing>& out);
  void StepDeadProbes(TimePoint now, std::vector<Outgoing>& out);
  void StartProbe(TimePoint now, const Member& member, bool scheduled, std::vector<Outgoing>& out);
  void Suspect(TimePoint now, const std::string& name, std::uint64_t generation);
  // Up to `count` random alive members other than `excluded`.
  std::vector<const Member*> PickAlive(std::size_t count, const std::string& excluded);

  void Merge(TimePoint now, const Record& record);
  void MergeSelf(TimePoint now, const Record& record);
  void AddSuspector(Member& member, const std::string& suspector);
  void UpdateSuspicionDeadline(Member& member);
  void Replace(TimePoint now, Member& member, const Record& record);
  void BecomeMember(TimePoint now);
  void StartNewGeneration(std::uint64_t above);
  void StartNameConflict(TimePoint now, const Record& record);
  void RefuseName(TimePoint now);
  void OnMessageFromOwnName(TimePoint now, const Message& message);
  // The sender's status as seen here; empty if the message is a duplicate.
  std::optional<ReceiverStatus> CheckSender(const Message& message, Transport transport);
  void OnAck(TimePoint now, const Message& message, std::vector<Outgoing>& out);
  void CompareDigests(TimePoint now, const Message& message, std::vector<Outgoing>& out);
  Message MakeTable(MessageKind kind);
  void LogLine(const std::string& text) const {
    if (on_log_) on_log_(text);
  }
  std::uint64_t RandomBelow(std::uint64_t bound) { return bound == 0 ? 0 : random_() % bound; }

  Options options_;
  Record self_;
  std::vector<std::string> seeds_;
  std::mt19937_64 random_;
  ChangeCallback on_change_;
  LogCallback on_log_;
  Phase phase_ = Phase::kJoining;
  std::map<std::string, Member> members_;
  std::map<std::string, GossipItem> gossip_;  // by the name of the member concerned
  std::vector<std::string> probe_order_;      // shuffled names; the last is probed next
  std::map<std::uint64_t, Probe> probes_;
  std::map<std::uint64_t, Relay> relays_;
  std::set<std::string> suspects_to_check_;  // newly suspected by others; probed at the next step
  std::optional<NameConflict> conflict_;
  Metrics metrics_;
  std::uint64_t digest_ = 0;
  std::size_t present_ = 0, suspects_ = 0;
  int health_ = 0;
  std::uint64_t sequence_ = 0, last_probe_ = 0;
  std::size_t next_seed_ = 0;
  std::string last_seed_;
  TimePoint last_step_, probe_at_, gossip_at_, join_at_, dead_probe_at_, refused_until_{}, next_table_at_{};
  TimePoint confirmed_at_{-1}, differs_since_{-1};  // -1: not confirmed; digests agree
};

}  // namespace peatbend::peers
