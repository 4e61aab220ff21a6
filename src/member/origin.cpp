// HTTP to and from the origin.
#include <xxhash.h>

#include <algorithm>

#include "member/server_codec.h"
#include "protocol/facts.h"
#include "protocol/http1.h"
#include "protocol/resp.h"

namespace peatbend::net {
namespace {

class OriginCodec : public ServerCodec {
 public:
  void Encode(const Request& request, Duration left, evbuffer* out) override {
    reader_.emplace(resp::kMaxBody);
    whole_ = passed_ = false;
    auto add = [out](std::string_view text) { Append(out, text); };
    add(request.write ? "PUT /" : "GET /");
    add(request.key);
    add(" HTTP/1.1\r\nHost: origin\r\nX-Correlation-Id: ");
    add(request.id);
    add("\r\nX-Facts: ");
    add(WithRemainingTime(request.facts, left));  // as received, but for the time that is left
    if (request.write) evbuffer_add_printf(out, "\r\nContent-Length: %zu", ValueSize(request));
    add("\r\n\r\n");
    AppendValue(request, out);
  }

  std::optional<FlowReply> Read(evbuffer* in) override {
    switch (reader_->Read(in)) {
      case http1::ResponseReader::Status::kIncomplete:
        return std::nullopt;
      case http1::ResponseReader::Status::kMalformed: {
        FlowReply reply;
        reply.complaint = reader_->error();
        return reply;
      }
      case http1::ResponseReader::Status::kDone:
        break;
    }
    whole_ = true;
    return Reply();
  }

  std::optional<FlowReply> ReadAtEnd() override {
    if (!reader_ || reader_->StatusAtEof() != http1::ResponseReader::Status::kDone) return std::nullopt;
    return Reply();
  }

  bool reusable() const override { return whole_ && reader_->keep_alive(); }
  std::optional<std::size_t> Streams() const override {
    bool large = reader_ && reader_->has_head() && reader_->status() == 200 &&
                 reader_->length().value_or(0) > resp::kMaxValue;
    bool some = large && (passed_ || evbuffer_get_length(reader_->body()) > 0);
    return some ? reader_->length() : std::nullopt;
  }
  void Pass(evbuffer* out) override {
    passed_ = true;
    evbuffer_add_buffer(out, reader_->body());
  }
  std::size_t Missing() const override { return reader_ ? reader_->remaining() : 0; }
  std::size_t Held(evbuffer* in) const override {
    return evbuffer_get_length(in) + (reader_ ? evbuffer_get_length(reader_->body()) : 0);
  }
  std::size_t MostHeld() const override {
    return reader_ && reader_->has_head() ? reader_->length().value_or(resp::kMaxBody) : http1::kMaxHead;
  }

 private:
  std::uint64_t Fingerprint() const {
    evbuffer* body = reader_->body();
    std::size_t size = std::min(evbuffer_get_length(body), resp::kMaxValue);
    std::string text(size, '\0');
    evbuffer_copyout(body, text.data(), size);
    return XXH3_64bits_withSeed(text.data(), size, static_cast<std::uint64_t>(reader_->status()));
  }
  FlowReply Reply() {
    FlowReply reply;
    reply.fingerprint = Fingerprint();
    reply.large = reader_->length().value_or(0) > resp::kMaxValue;
    if (reply.large) reply.fingerprint = *reader_->length();
    reply.load = ParseLoadReport(reader_->Header("x-backend-load"));
    int status = reader_->status();
    if (status == 200) {
      reply.result = Result::kGood;
      reply.value = NewBuffer();
      evbuffer_add_buffer(reply.value.get(), reader_->body());
    } else if ((status == 503 || status == 504) && reader_->Header("x-unprocessed") == "1") {
      reply.result = Result::kFull;
    } else if (status < 500) {
      whole_ = false;
      reply.complaint = "a status that the protocol does not name";
    }
    return reply;
  }
  std::optional<http1::ResponseReader> reader_;
  bool whole_ = false, passed_ = false;  // the answer is there; some of its body was passed on
};

}  // namespace

std::unique_ptr<ServerCodec> NewOriginCodec() { return std::make_unique<OriginCodec>(); }

}  // namespace peatbend::net
