// What a server-side flow writes and how its answer is read: RESP at pool members that cache, HTTP at the
// origin.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/event_handles.h"
#include "peatbend/balancer.h"
#include "protocol/request.h"

namespace peatbend::net {

struct FlowReply {
  Result result = Result::kBad;
  Note note = Note::kNone;
  LoadReport load;
  BufferPtr value;             // kGood
  std::string_view complaint;  // not empty: what came was malformed
};

class ServerCodec {
 public:
  virtual ~ServerCodec() = default;
  virtual void Encode(const Request& request, Duration limit, evbuffer* out) = 0;
  // The answer, once it is whole; takes it out of `in`.
  virtual std::optional<FlowReply> Read(evbuffer* in) = 0;
  // The answer, if the connection's end completes it.
  virtual std::optional<FlowReply> ReadAtEnd() { return std::nullopt; }
  // Whether another request may follow on the connection: not after an answer that is malformed.
  virtual bool reusable() const = 0;
};

std::unique_ptr<ServerCodec> NewMemberCodec();
std::unique_ptr<ServerCodec> NewOriginCodec();

}  // namespace peatbend::net
