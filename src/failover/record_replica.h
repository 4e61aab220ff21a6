// One of the three that store a record: it promises, accepts and answers with nacks. It never forgets a
// promise within a record's lifetime. A process that has just started may have forgotten some: it votes for
// an operation only once both the other replicas have transferred their state to it, all records that they
// share, or when no record of before its start can be alive. One owner, one thread.
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
  Span lifetime =
      std::chrono::seconds{20};  // of a record, from when it was last written: longest deadline and linger
  std::size_t bytes = 4u << 20;  // of all records together
};

class RecordReplica {
 public:
  // The replicas of an operation, by name, in the one order.
  using ReplicasFor = std::function<std::array<std::string, kReplicas>(const std::string& operation)>;
  // `now`: of the process's start. `life`: higher than that of any start before. Without `replicas_for`
  // nobody is asked for a state transfer.
  RecordReplica(RecordLimits limits, Time now, std::string self = {}, std::uint64_t life = 0,
                ReplicasFor replicas_for = {})
      : limits_(limits),
        started_(now),
        self_(std::move(self)),
        life_(life),
        replicas_for_(std::move(replicas_for)) {}

  // The answer to a prepare, an accept or a read.
  Message Take(Time now, const Message& asked);
  // Its life has moved on, with all that it keeps.
  void SetLife(std::uint64_t life) { life_ = std::max(life_, life); }
  std::uint64_t life() const { return life_; }
  // What to ask those whose state transfer is not complete for all; what came of requests before is dropped.
  Message RequestSync();
  bool HasSynced(const std::string& who) const { return HasSynced(who, "*"); }
  // This one's state, for one that has restarted. From now on the asker's votes of former lives no longer
  // count beside those of this one.
  std::vector<Message> AnswerSync(Time now, const Message& asked);
  void HandleSync(Time now, const std::string& from, const Message& message);
  bool Votes(Time now, const std::string& operation) const;

  // Drops the records whose lifetime is over; to be called now and then.
  void Forget(Time now);

  bool recovering(Time now) const { return now - started_ < limits_.lifetime; }
  std::size_t records() const { return stored_.size(); }
  std::size_t bytes() const { return bytes_; }
  struct StoredRecord {
    Ballot promised, kept;
    std::uint32_t version = 0;
    RecordState state;
    Time first{};         // when the first attempt was committed, as far as is known here
    Time last{};          // written or promised
    bool copied = false;  // by a state transfer
  };
  const std::map<std::string, StoredRecord>& stored() const { return stored_; }
  void Put(std::string& into) const;  // see RecordProposer::Put; but for when records end

 private:
  Message ReplyWithState(Time now, Kind kind, const Message& asked, const StoredRecord& record) const;
  static std::size_t Weight(const std::string& operation, const RecordState& state);
  struct IncomingSync {  // a state transfer under way
    std::optional<Message> done;
    std::map<std::string, Message> records;
  };
  bool HasSynced(const std::string& who, const std::string& third) const;
  Lives LivesOf(const std::string& operation) const;
  void Merge(Time now, const Message& copy);

  RecordLimits limits_;
  Time started_;
  std::string self_;
  std::uint64_t life_ = 0, asked_ = 0;
  ReplicasFor replicas_for_;
  std::map<std::string, std::uint64_t> noted_;  // lives of those that asked for a state transfer
  std::map<std::string, std::set<std::string>>
      synced_;  // who, and for the operations of which third replicas
  std::map<std::string, IncomingSync> incoming_;
  std::map<std::string, StoredRecord> stored_;
  std::size_t bytes_ = 0;
};

}  // namespace peatbend::failover
