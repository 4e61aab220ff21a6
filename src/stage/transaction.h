// One request, from taken to its single final answer.
#pragma once

#include <memory>
#include <vector>

#include "base/counters.h"
#include "protocol/request.h"
#include "stage/server_side_flow.h"

namespace peatbend::net {

class Transaction {
 public:
  Transaction(RequestId id, std::unique_ptr<Request> request, AnswerSink& client, std::uint64_t place,
              TimePoint deadline, Counters& counters)
      : id_(id),
        request_(std::move(request)),
        client_(&client),
        place_(place),
        deadline_(deadline),
        counters_(counters) {}

  // The first of these ends it; the others then do nothing.
  void Serve(evbuffer* value);
  void Reject(Duration come_back);
  void Fail();
  void ClientLeft();
  // A large value: from Begin on the transaction is this attempt's, and only EndValue ends it, or the client.
  // False: it has ended, or is another's.
  bool Begin(int attempt, std::size_t length);
  bool Piece(evbuffer* bytes) { return client_->AppendChunk(place_, bytes); }
  void EndValue(bool whole);
  // The attempt whose value was being passed on when the client left; -1: none.
  int left_at() const { return client_ == nullptr ? streams_ : -1; }
  // The attempt whose value is being passed on; -1: none.
  int streams() const { return client_ == nullptr ? -1 : streams_; }

  bool finished() const { return client_ == nullptr; }
  // Whether no attempt may begin any more: it is finished, or about to be, or one brings its value.
  bool closed() const { return finished() || ending || streams_ >= 0; }
  // Whether it has no connection to a server, and an attempt may still need one.
  bool waits_for_server() const;
  // The latest time at which an attempt may begin that must begin `within` so long; max(): whenever it can.
  TimePoint BeginBy(TimePoint now, Duration within) const {
    return within < deadline_ - now ? now + within : TimePoint::max();
  }
  // Ends the attempts that have not begun.
  void GiveUpUnbegun();
  // kLost: it failed, or its client left.
  enum class Fate { kServed, kRejected, kLost };
  Fate fate() const { return fate_; }  // once it has ended
  RequestId id() const { return id_; }
  const Request& request() const { return *request_; }
  TimePoint deadline() const { return deadline_; }

  // Flows, by the number of the attempt; one that has ended and been told of is null.
  std::vector<std::unique_ptr<ServerSideFlow>>& flows() { return flows_; }
  int open_flows = 0;  // whose outcome the module has not had

  std::uint64_t work = 0;  // where overload is watched, and its end has not been told there

  // Where work in hand is kept: its record is asked before it is sent and answered.
  bool tracked = false;
  bool ending = false;  // the module has done with it; its end is being recorded
  int held = -1;        // the attempt that waits for the record
  Duration held_limit{}, come_back{};
  TimePoint held_begin_by = TimePoint::max();

 private:
  Counters::PerClass& PerClass();
  // Whom to tell the one answer; null if it was told, or a value is being passed on.
  AnswerSink* Answer();
  RequestId id_;
  std::unique_ptr<Request> request_;
  AnswerSink* client_;  // null once answered
  std::uint64_t place_;
  int streams_ = -1;
  Fate fate_ = Fate::kLost;
  TimePoint deadline_;
  Counters& counters_;
  std::vector<std::unique_ptr<ServerSideFlow>> flows_;
};

}  // namespace peatbend::net
