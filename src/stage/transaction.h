// A request from its admission to its single final answer.
#pragma once

#include <memory>
#include <vector>

#include "base/counters.h"
#include "protocol/request.h"
#include "stage/server_attempt.h"

namespace peatbend::net {

class Transaction {
 public:
  // `position`: of the request's command on the client's connection.
  Transaction(RequestId id, std::unique_ptr<Request> request, AnswerSink& client, std::uint64_t position,
              TimePoint deadline, Counters& counters)
      : id_(id),
        request_(std::move(request)),
        client_(&client),
        position_(position),
        deadline_(deadline),
        counters_(counters) {}

  // The first call of these ends the transaction; later calls have no effect.
  void Serve(evbuffer* value);
  void Reject(Duration retry_after);
  void Fail();
  void ClientLeft();
  // Starts streaming the value of an attempt. From then on only EndStream or ClientLeft ends the transaction.
  // Returns false if it has ended or streams the value of another attempt.
  bool BeginStream(int attempt, std::size_t length);
  // What is to be known of a large value that has begun to arrive for it.
  LargeValueFacts FactsOfValue(TimePoint now) const;
  // Nothing of it is written to the client for now.
  void HoldValue(std::size_t length) { client_->HoldValue(position_, length); }
  bool AppendChunk(evbuffer* bytes) { return client_->AppendChunk(position_, bytes); }
  void EndStream(bool complete);
  // The attempt whose value was being streamed when the client left; -1: none.
  int abandoned_stream() const { return client_ == nullptr ? stream_attempt_ : -1; }
  // The attempt whose value is being streamed; -1: none.
  int active_stream() const { return client_ == nullptr ? -1 : stream_attempt_; }

  bool finished() const { return client_ == nullptr; }
  // Whether its answer would be written to the client at once.
  bool is_next() const { return client_ != nullptr && client_->IsNext(position_); }
  // Whether no further attempt may start: the transaction is finished or about to be, or streams a value.
  bool closed() const { return finished() || ending || stream_attempt_ >= 0; }
  // Whether it has no connection to a server, and may still need one.
  bool waits_for_server() const;
  // The latest time to begin an attempt that must begin `within` this duration; max() if that is not before
  // the deadline.
  TimePoint BeginBy(TimePoint now, Duration within) const {
    return within < deadline_ - now ? now + within : TimePoint::max();
  }
  // The limits of an attempt of the balancer's.
  AttemptLimits LimitsOf(TimePoint now, const Send& send) const;
  // Cancels the attempts that have not written anything yet, or whose answers take memory. The others must be
  // delivered by this time, but for the one whose value is being streamed.
  void EndAttempts(TimePoint deliver_by);
  // kLost: failed, or the client left.
  enum class Outcome { kServed, kRejected, kLost };
  Outcome outcome() const { return outcome_; }  // valid once finished
  RequestId id() const { return id_; }
  const Request& request() const { return *request_; }
  TimePoint deadline() const { return deadline_; }

  // Indexed by the number of the attempt; null once its outcome has been reported to the balancer.
  std::vector<std::unique_ptr<ServerAttempt>>& attempts() { return attempts_; }
  int unreported_attempts = 0;  // whose outcome has not been reported to the balancer

  std::uint64_t work = 0;  // as returned by OverloadControl::Admit; 0 once its end has been reported there

  // State of requests that an OperationTracker tracks.
  bool tracked = false;
  bool ending = false;    // the balancer has ended the request, and the outcome is being recorded
  int held_attempt = -1;  // waits for a send permit; -1: none
  AttemptLimits held_limits;
  Duration retry_after{};

 private:
  Counters::PerClass& class_counters();
  // The client, for the one answer; null if it was answered or a value is being streamed.
  AnswerSink* TakeClient();
  RequestId id_;
  std::unique_ptr<Request> request_;
  AnswerSink* client_;  // null once answered
  std::uint64_t position_;
  int stream_attempt_ = -1;
  Outcome outcome_ = Outcome::kLost;
  TimePoint deadline_;
  Counters& counters_;
  std::vector<std::unique_ptr<ServerAttempt>> attempts_;
};

}  // namespace peatbend::net
