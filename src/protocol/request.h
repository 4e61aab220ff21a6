// A request independent of the client's protocol: a client codec creates a Request and receives the answer
// through an AnswerSink.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/event_handles.h"
#include "base/memory_budget.h"
#include "peatbend/balancer.h"

namespace peatbend::net {

struct Request {
  Request() = default;
  Request(const Request&) = delete;  // the views below point into `text`
  Request& operator=(const Request&) = delete;

  std::string text;  // a copy of the command, since the request may be sent after the client's buffer is gone
  std::string_view command, key, id, facts, value;
  BufferPtr body;                    // a large value, instead of `value`; shared by all attempts
  MemoryReservation memory;          // for `body`, or for a long `text`
  MemoryReservation command_memory;  // for the request itself
  bool no_memory = false;            // there was none for it
  bool write = false, retry = false;
  int cls = 0, tenant = -1;  // indexes into Settings; tenant is -1 if unknown
  std::uint64_t client = 0;  // hash of the client's address, equal on all routers; 0 if not needed
  Duration remaining{};      // until the deadline, as of the arrival of the last byte
};

inline std::size_t ValueSize(const Request& request) {
  return request.body ? evbuffer_get_length(request.body.get()) : request.value.size();
}
inline void AppendValue(const Request& request, evbuffer* out) {
  if (request.body) {
    evbuffer_add_buffer_reference(out, request.body.get());
  } else {
    Append(out, request.value);
  }
}

// Receives the answers to the requests of one client. `position` is the number of the request's command on
// the client's connection, from 0. Each request gets either one call of the first three, or BeginValue, any
// number of AppendChunk and EndValue.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  // May drain `value`.
  virtual void Serve(std::uint64_t position, evbuffer* value) = 0;
  virtual void Reject(std::uint64_t position, Duration come_back) = 0;
  virtual void Fail(std::uint64_t position) = 0;
  // A large value of `length` bytes has begun to arrive for this position, and is not written until Serve or
  // BeginValue.
  virtual void HoldValue(std::uint64_t position, std::size_t length) = 0;
  // Commands of the client that were read behind the one at this position, whether or not they were taken.
  virtual std::size_t CommandsBehind(std::uint64_t position) const = 0;
  // Starts a value of `length` bytes that is forwarded as it arrives.
  virtual void BeginValue(std::uint64_t position, std::size_t length) = 0;
  // Drains `bytes`. False: the caller must pause until BalancerDriver::ResumeStream.
  virtual bool AppendChunk(std::uint64_t position, evbuffer* bytes) = 0;
  // Whether an answer at this position would be written at once: the client has taken all before it.
  virtual bool IsNext(std::uint64_t position) const = 0;
  // Since when the client has waited for the answer that is next, alone.
  virtual TimePoint NextSince() const = 0;
  // If not `complete`, the value was cut off and the client must be able to detect that.
  virtual void EndValue(std::uint64_t position, bool complete) = 0;
};

}  // namespace peatbend::net
