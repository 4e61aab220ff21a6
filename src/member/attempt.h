// What a member connection knows of the attempt that it carries. The stage that makes attempts implements it,
// so that connections do not depend on the stages that use them.
#pragma once

#include <string>

#include "member/server_codec.h"

namespace peatbend::net {

struct AttemptLimits {
  Duration timeout{};  // from the start to the answer; the server is told what is left of it
  TimePoint begin_by = TimePoint::max();    // the first byte is written by then, or not at all
  TimePoint deliver_by = TimePoint::max();  // the server must have received the last byte by then
};

class Attempt {
 public:
  virtual ~Attempt() = default;
  virtual const std::string& member() const = 0;
  // Some of a large value of `length` bytes is there, and nothing of it was passed on. kGone: nobody wants
  // it, and the connection is gone. Else it is asked again when more has come, or by ReviewValue.
  enum class ValueStep { kPassOn, kHold, kLeaveUnread, kGone };
  virtual ValueStep LargeValue(std::size_t length) = 0;
  // The bytes are taken. False: no more till Resume, or the connection is gone, as `gone` tells.
  virtual bool Piece(evbuffer* bytes, bool& gone) = 0;
  // Whether its answer would be written at once: the client has taken all that it was to be given before.
  virtual bool AnswerIsNext() const = 0;
  // The rest of its answer is not read, for want of memory for it, or is read on again.
  virtual void AnswerWaits(bool waits) = 0;
  // One of these, once; the connection has let go of the attempt by then.
  virtual void Answered(FlowReply reply) = 0;
  // `written`: the request's last byte was handed to the socket, so it may have run.
  virtual void Broken(bool written) = 0;
  // It must not begin any more, and nothing of it was written.
  virtual void TooLate() = 0;
  // The server had not acknowledged its last byte in time. No more of it is sent.
  virtual void Undelivered() = 0;
};

}  // namespace peatbend::net
