// The client codec: a RESP command into a Request, and answers into RESP.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "protocol/request.h"
#include "protocol/resp.h"

namespace peatbend::net {

struct ClientCommand {
  enum class Kind { kRequest, kPing, kPolite, kQuit, kUnknown, kUnknownClass, kMalformed, kRefused };
  Kind kind = Kind::kUnknown;        // kRefused: was answered before its value had come
  std::unique_ptr<Request> request;  // kRequest
  std::string_view complaint;        // kMalformed
};

// The item of a command that may be a large value.
constexpr int kValueItem = 4;

// `message` is a whole one, `buffer` the bytes it was read from.
ClientCommand ReadCommand(const resp::Message& message, std::string_view buffer, const Settings& settings);

void AppendServed(evbuffer* out, evbuffer* value);
void AppendRejected(evbuffer* out, Duration come_back);

}  // namespace peatbend::net
