// RESP to and from the pool members that cache.
#include <xxhash.h>

#include <algorithm>

#include "member/server_codec.h"
#include "protocol/facts.h"
#include "protocol/resp.h"

namespace peatbend::net {
namespace {

void AppendBulk(evbuffer* out, std::string_view text) {
  evbuffer_add_printf(out, "$%zu\r\n", text.size());
  Append(out, text);
  Append(out, "\r\n");
}

CacheStatus ReadNote(std::string_view word) {
  if (word == "hit") return CacheStatus::kHit;
  if (word == "miss") return CacheStatus::kMiss;
  return word == "pending" ? CacheStatus::kMissFetching : CacheStatus::kNone;
}

// Answers of another kind have other fingerprints, whatever their text.
enum class Kind : std::uint64_t { kValue = 1, kMiss, kError };
std::uint64_t Fingerprint(Kind kind, std::string_view text) {
  return XXH3_64bits_withSeed(text.data(), text.size(), static_cast<std::uint64_t>(kind));
}

class MemberCodec : public ServerCodec {
 public:
  void Encode(const Request& request, Duration left, evbuffer* out) override {
    parser_.Reset();
    value_ = NewBuffer();
    length_ = left_ = 0;
    reusable_ = true;
    evbuffer_add_printf(out, "*%d\r\n", request.write ? 5 : 4);
    AppendBulk(out, request.command);
    AppendBulk(out, request.key);
    AppendBulk(out, request.id);
    AppendBulk(out, WithRemainingTime(request.facts, left));
    if (request.write) {
      evbuffer_add_printf(out, "$%zu\r\n", ValueSize(request));
      AppendValue(request, out);
      Append(out, "\r\n");
    }
  }

  std::optional<FlowReply> Read(evbuffer* in) override {
    if (left_ > 0 && !TakeBody(in)) return std::nullopt;
    std::string_view text = Contents(in);
    switch (parser_.Advance(text)) {
      case resp::Parser::Status::kBody:
        length_ = left_ = parser_.body_size();
        evbuffer_drain(in, parser_.head_size());
        return Read(in);
      case resp::Parser::Status::kIncomplete:
        return std::nullopt;
      case resp::Parser::Status::kMalformed:
        return Malformed(parser_.error());
      case resp::Parser::Status::kDone:
        break;
    }
    const resp::Message& message = parser_.message();
    FlowReply reply;
    std::size_t drained = 0;
    if (message.type == resp::Type::kError) {
      std::string_view error = message.items[0].In(text);
      bool busy = error == "BUSY" || error.starts_with("BUSY ");
      reply.result = busy ? Result::kFull : Result::kBad;
      reply.fingerprint = Fingerprint(Kind::kError, error);
      if (!busy && error != "ERR" && !error.starts_with("ERR ")) {
        reusable_ = false;
        reply.complaint = "an error that the protocol does not name";
      }
    } else if (message.type == resp::Type::kArray && !message.null && message.items.size() == 3) {
      reply.note = ReadNote(message.items[1].In(text));
      reply.load = ParseLoadReport(message.items[2].In(text));
      resp::Slice value = message.items[0];
      reply.result = value.null ? Result::kMiss : Result::kGood;
      reply.fingerprint = Fingerprint(value.null ? Kind::kMiss : Kind::kValue, value.In(text));
      reply.large = length_ > 0;
      if (reply.large) {
        reply.fingerprint = length_;
        reply.value = std::move(value_);
        length_ = 0;
      } else if (!value.null) {
        reply.value = NewBuffer();
        evbuffer_drain(in, value.at);
        evbuffer_remove_buffer(in, reply.value.get(), value.size);
        drained = value.at + value.size;
      }
    } else {
      return Malformed("neither an array of three nor an error");
    }
    evbuffer_drain(in, message.size - drained);
    return reply;
  }

  bool reusable() const override { return reusable_; }
  std::optional<std::size_t> Streams() const override {
    bool some = left_ < length_;
    return some ? std::optional(length_) : std::nullopt;
  }
  void Pass(evbuffer* out) override { evbuffer_add_buffer(out, value_.get()); }
  std::size_t Missing() const override { return left_; }
  std::size_t Held(evbuffer* in) const override {
    return evbuffer_get_length(in) + evbuffer_get_length(value_.get());
  }
  std::size_t MostHeld() const override { return length_ + resp::kMaxMessage; }

 private:
  // Whether the body has come whole.
  bool TakeBody(evbuffer* in) {
    std::size_t take = std::min(left_, evbuffer_get_length(in));
    bool collects = evbuffer_get_length(value_.get()) > 0;  // what came before was not passed on
    if (collects) {
      MoveCompact(in, value_.get(), take);
    } else {
      evbuffer_remove_buffer(in, value_.get(), take);
    }
    left_ -= take;
    if (left_ == 0) parser_.BodyConsumed();
    return left_ == 0;
  }
  FlowReply Malformed(std::string_view complaint) {
    reusable_ = false;
    FlowReply reply;
    reply.complaint = complaint;
    return reply;
  }
  resp::Parser parser_{0};
  BufferPtr value_ = NewBuffer();      // of a large value: what has come and was not passed on
  std::size_t length_ = 0, left_ = 0;  // of a large value: its length, and what has not come
  bool reusable_ = true;
};

}  // namespace

std::unique_ptr<ServerCodec> NewMemberCodec() { return std::make_unique<MemberCodec>(); }

}  // namespace peatbend::net
