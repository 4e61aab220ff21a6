// One of the three replicas of a record (an acceptor in terms of Paxos). It keeps each promise for the
// lifetime of the record. State is held in memory only, so a restarted process may have lost promises: it
// takes part for an operation only after both other replicas have transferred to it all records that they
// share, or once every record from before its start has expired. Not thread-safe.
#pragma once

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "failover/record.h"

namespace peatbend::failover {

struct RecordLimits {
  // Of a record since it last changed: the longest class deadline and retain_ms.
  Duration lifetime = std::chrono::seconds{20};
  std::size_t bytes = 4u << 20;  // memory limit of all records together
};

class RecordReplica {
 public:
  // Returns the names of the replicas of an operation, in the order that all routers use.
  using ReplicasFor = std::function<std::array<std::string, kReplicas>(const std::string& operation)>;
  // `now`: when the process started. `generation`: higher than that of any earlier start. Without
  // `replicas_for` there are no state transfers.
  RecordReplica(RecordLimits limits, TimePoint now, std::string self = {}, std::uint64_t generation = 0,
                ReplicasFor replicas_for = {})
      : limits_(limits),
        started_(now),
        self_(std::move(self)),
        generation_(generation),
        replicas_for_(std::move(replicas_for)) {}

  // Returns the reply to a prepare, an accept or a read.
  Message Handle(TimePoint now, const Message& request);
  // Raises the generation of this process; the stored records stay valid.
  void SetGeneration(std::uint64_t generation) { generation_ = std::max(generation_, generation); }
  std::uint64_t generation() const { return generation_; }
  // Returns the request for a state transfer, for the replicas whose transfer is not complete for all
  // operations. Discards what was received for earlier requests.
  Message RequestSync(TimePoint now);
  bool HasSynced(const std::string& sender) const { return HasSynced(sender, "*"); }
  // Returns the shared records for a restarted replica. From now on, votes of earlier generations of the
  // requester no longer count together with those of this replica.
  std::vector<Message> AnswerSync(TimePoint now, const Message& request);
  void HandleSync(TimePoint now, const std::string& from, const Message& message);
  bool MayVote(TimePoint now, const std::string& operation) const;

  // Drops expired records. To be called periodically.
  void DropExpired(TimePoint now);

  bool recovering(TimePoint now) const { return now - started_ < limits_.lifetime; }
  std::size_t records() const { return stored_.size(); }
  std::size_t bytes() const { return bytes_; }
  struct StoredRecord {
    Ballot promised, accepted;
    std::uint32_t version = 0;
    RecordState state;
    TimePoint first_attempt{};  // when the first attempt was recorded, as far as is known here
    TimePoint last_change{};    // last write or promise
    bool copied = false;        // received by a state transfer and not accepted since
  };
  const std::map<std::string, StoredRecord>& stored() const { return stored_; }
  void AppendState(std::string& into) const;  // as RecordProposer::AppendState; leaves out the expiry times

 private:
  Message ReplyWithState(TimePoint now, Kind kind, const Message& request, const StoredRecord& record) const;
  static std::size_t MemorySize(const std::string& operation, const RecordState& state);
  struct IncomingSync {  // a state transfer in progress
    std::optional<Message> done;
    std::map<std::string, Message> records;
  };
  bool HasSynced(const std::string& sender, const std::string& third) const;
  Generations GenerationsOf(const std::string& operation) const;
  // The stated age is as of some time after the request: counted from the request, it is never too low.
  void MergeCopy(TimePoint now, const Message& copy);

  RecordLimits limits_;
  TimePoint started_;
  std::string self_;
  std::uint64_t generation_ = 0, last_sync_request_ = 0;
  TimePoint sync_requested_at_{};  // of the last request
  ReplicasFor replicas_for_;
  std::map<std::string, std::uint64_t> known_generations_;  // highest, by requester of a state transfer
  // By sender of a completed transfer: the third replicas it covers, see Message::complete_for.
  std::map<std::string, std::set<std::string>> completed_syncs_;
  std::map<std::string, IncomingSync> incoming_syncs_;
  std::map<std::string, StoredRecord> stored_;
  std::size_t bytes_ = 0;
};

}  // namespace peatbend::failover
