// RESP to and from the pool members that cache.
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

Note ReadNote(std::string_view word) {
  if (word == "hit") return Note::kHit;
  if (word == "miss") return Note::kMiss;
  return word == "pending" ? Note::kMissFetching : Note::kNone;
}

class MemberCodec : public ServerCodec {
 public:
  void Encode(const Request& request, Duration limit, evbuffer* out) override {
    parser_.Reset();
    reusable_ = true;
    evbuffer_add_printf(out, "*%d\r\n", request.write ? 5 : 4);
    AppendBulk(out, request.command);
    AppendBulk(out, request.key);
    AppendBulk(out, request.id);
    AppendBulk(out, WithLimit(request.facts, limit));
    if (request.write) AppendBulk(out, request.value);
  }

  std::optional<FlowReply> Read(evbuffer* in) override {
    std::string_view text = Contents(in);
    switch (parser_.Advance(text)) {
      case resp::Parser::Status::kMore:
        return std::nullopt;
      case resp::Parser::Status::kBad:
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
      if (!busy && error != "ERR" && !error.starts_with("ERR ")) {
        reusable_ = false;
        reply.complaint = "an error that the protocol does not name";
      }
    } else if (message.type == resp::Type::kArray && !message.null && message.items.size() == 3) {
      reply.note = ReadNote(message.items[1].In(text));
      reply.load = ParseLoadReport(message.items[2].In(text));
      resp::Slice value = message.items[0];
      reply.result = value.null ? Result::kMiss : Result::kGood;
      if (!value.null) {
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

 private:
  FlowReply Malformed(std::string_view complaint) {
    reusable_ = false;
    FlowReply reply;
    reply.complaint = complaint;
    return reply;
  }
  resp::Parser parser_;
  bool reusable_ = true;
};

}  // namespace

std::unique_ptr<ServerCodec> NewMemberCodec() { return std::make_unique<MemberCodec>(); }

}  // namespace peatbend::net
