// What a server-side flow writes and how its answer is read: RESP at pool members that cache, HTTP at the
// origin.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/event_handles.h"
#include "base/memory_budget.h"
#include "peatbend/balancer.h"
#include "protocol/request.h"

namespace peatbend::net {

struct FlowReply {
  Result result = Result::kBad;
  CacheStatus note = CacheStatus::kNone;
  LoadReport load;
  BufferPtr value;             // kGood
  MemoryReservation memory;    // for `value`, if it needed one
  std::string_view complaint;  // not empty: what came was malformed
  // Of the content: the same for a second copy of the answer. The length of a large value.
  std::uint64_t fingerprint = 0;
  bool large = false;  // its value may be passed on before it is whole
};

class ServerCodec {
 public:
  virtual ~ServerCodec() = default;
  // The request as it is written; `left` is what the router will still wait, and is told to the server.
  virtual void Encode(const Request& request, Duration left, evbuffer* out) = 0;
  // The answer, once it is whole; takes it out of `in`.
  virtual std::optional<FlowReply> Read(evbuffer* in) = 0;
  // The answer, if the connection's end completes it.
  virtual std::optional<FlowReply> ReadAtEnd() { return std::nullopt; }
  // The length of a value that is too large to wait for, once some of it has come; `Pass` gives what has come
  // and was not given yet. Read's answer has no value then, and comes once the whole of it was given.
  virtual std::optional<std::size_t> Streams() const = 0;
  virtual void Pass(evbuffer* out) = 0;
  // Bytes of that value which have not come.
  virtual std::size_t Missing() const = 0;
  // Bytes held of an answer that is neither whole nor passed on as it comes; `in` is what was not read yet.
  virtual std::size_t Held(evbuffer* in) const = 0;
  // The most that this can become.
  virtual std::size_t MostHeld() const = 0;
  // Whether another request may follow on the connection: not after an answer that is malformed.
  virtual bool reusable() const = 0;
};

std::unique_ptr<ServerCodec> NewMemberCodec();
std::unique_ptr<ServerCodec> NewOriginCodec();

}  // namespace peatbend::net
