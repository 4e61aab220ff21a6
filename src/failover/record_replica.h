// One of the three that keep a record: it promises, accepts and refuses. It never forgets a promise within a
// record's life. A process that has just started may have forgotten some: it votes for an operation only once both
// the other replicas have given it their word, all that they keep with it, or when no record of before its start
// can be alive. One owner, one thread.
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
  // `now`: of the process's start. `life`: higher than that of any start before. Without `replicas_for` nobody is
  // asked for a word.
  RecordReplica(RecordLimits limits, Time now, std::string self = {}, std::uint64_t life = 0, ReplicasFor replicas_for = {})
      : limits_(limits), started_(now), self_(std::move(self)), life_(life), replicas_for_(std::move(replicas_for)) {}

  // The answer to a prepare, an accept or a reader.
  Message Take(Time now, const Message& asked);
  // Its life has moved on, with all that it keeps.
  void SetLife(std::uint64_t life) { life_ = std::max(life_, life); }
  std::uint64_t life() const { return life_; }
  // What to ask those that have not synced for all yet; nothing has been awaited of an asking before.
  Message RequestSync();
  bool HasSynced(const std::string& who) const { return HasSynced(who, "*"); }
  // This one's word, for one who has started anew. From now on the asker's votes of former lives count no
  // more beside those of this one.
  std::vector<Message> AnswerSync(Time now, const Message& asked);
  void HandleSync(Time now, const std::string& from, const Message& message);
  bool Votes(Time now, const std::string& operation) const;

  // Drops the records whose life is over; to be called now and then.
  void Forget(Time now);

  bool recovering(Time now) const { return now - started_ < limits_.lifetime; }
  std::size_t records() const { return stored_.size(); }
  std::size_t bytes() const { return bytes_; }
  struct StoredRecord {
    Ballot promised, kept;
    std::uint32_t version = 0;
    RecordState state;
    Time first{};         // when the first attempt stood, as far as is known here
    Time last{};          // written or promised
    bool copied = false;  // by the word of another
  };
  const std::map<std::string, StoredRecord>& stored() const { return stored_; }
  void Put(std::string& into) const;  // see RecordProposer::Put; but for when records outcome

 private:
  Message ReplyWithState(Time now, Kind kind, const Message& asked, const StoredRecord& record) const;
  static std::size_t Weight(const std::string& operation, const RecordState& state);
  struct IncomingSync {  // of one who gives its word
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
  std::map<std::string, std::uint64_t> noted_;            // lives of those that asked for a word
  std::map<std::string, std::set<std::string>> synced_;  // who, and for the operations of which third replicas
  std::map<std::string, IncomingSync> incoming_;
  std::map<std::string, StoredRecord> stored_;
  std::size_t bytes_ = 0;
};

}  // namespace peatbend::failover
