// A request between a client's protocol and the rest: a client codec hands over a Request and takes an answer
// through an AnswerSink. Nothing here or behind it knows how either looked on the client's connection.
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
  Request(const Request&) = delete;  // the views below point into text
  Request& operator=(const Request&) = delete;

  std::string text;  // copied from the client's buffer, which it outlives: it may be sent more than once
  std::string_view command, key, id, facts, value;
  BufferPtr body;            // a large value, in place of `value`; each attempt refers to it
  MemoryReservation memory;  // for it
  bool write = false, retry = false;
  int cls = 0, tenant = -1;  // tenant: -1 if not one of the settings'
  std::uint64_t client = 0;  // a hash of its address, the same at all routers; 0 where nobody asks for it
  Duration remaining{};      // from the arrival of the last byte
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

class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  // One of these, once for each place. `value` may be emptied.
  virtual void Served(std::uint64_t place, evbuffer* value) = 0;
  virtual void Rejected(std::uint64_t place, Duration come_back) = 0;
  virtual void Failed(std::uint64_t place) = 0;
  // Or the three below: a value of `length` bytes that is passed on as it comes. Ends is the last; not
  // `whole`: the client must be able to tell.
  virtual void Begins(std::uint64_t place, std::size_t length) = 0;
  // Takes the bytes. False: no more for now, till the stage is told to go on.
  virtual bool Piece(std::uint64_t place, evbuffer* bytes) = 0;
  virtual void Ends(std::uint64_t place, bool whole) = 0;
};

}  // namespace peatbend::net
