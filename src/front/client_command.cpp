#include "front/client_command.h"

#include <algorithm>

#include "base/text.h"
#include "protocol/facts.h"

namespace peatbend::net {
namespace {

bool Is(std::string_view word, std::string_view upper) {
  return std::equal(word.begin(), word.end(), upper.begin(), upper.end(), [](char x, char y) {
    return (x >= 'a' && x <= 'z' ? static_cast<char>(x - 32) : x) == y;
  });
}

template <typename T>
int Named(const std::vector<T>& items, std::string_view name) {
  auto at = std::find_if(items.begin(), items.end(), [&](const T& item) { return item.name == name; });
  return at == items.end() ? -1 : static_cast<int>(at - items.begin());
}

ClientCommand Malformed(std::string_view complaint) {
  return {ClientCommand::Kind::kMalformed, nullptr, complaint};
}

}  // namespace

ClientCommand ReadCommand(const resp::Message& message, std::string_view buffer, const Settings& settings) {
  if (message.type != resp::Type::kArray || message.null || message.items.empty()) {
    return Malformed("expected a command");
  }
  for (const resp::Slice& item : message.items) {
    if (item.null) return Malformed("null in a command");
  }
  std::string_view name = message.items[0].In(buffer);
  using Kind = ClientCommand::Kind;
  if (Is(name, "PING")) return {Kind::kPing, nullptr, {}};
  if (Is(name, "CLIENT") || Is(name, "SELECT")) return {Kind::kPolite, nullptr, {}};
  if (Is(name, "QUIT")) return {Kind::kQuit, nullptr, {}};
  bool write = Is(name, "OBJ.SET");
  if (!write && !Is(name, "OBJ.GET")) return {Kind::kUnknown, nullptr, {}};
  if (message.items.size() != (write ? 5u : 4u)) return Malformed("wrong number of arguments");

  auto request = std::make_unique<Request>();
  request->text.assign(buffer.substr(0, message.size));
  std::string_view text = request->text;
  request->command = message.items[0].In(text);
  request->key = message.items[1].In(text);
  request->id = message.items[2].In(text);
  request->facts = message.items[3].In(text);
  if (write) request->value = message.items[4].In(text);
  request->write = write;
  // Key and id go into an HTTP head at the origin, where such bytes would end a line or a word.
  auto plain = [](std::string_view word, bool space_too) {
    return std::all_of(word.begin(), word.end(),
                       [&](unsigned char c) { return c > ' ' ? c != 0x7f : c == ' ' && !space_too; });
  };
  if (request->key.empty() || !plain(request->key, true)) return Malformed("bad key");
  if (request->id.empty() || !plain(request->id, true)) return Malformed("bad id");
  if (!plain(request->facts, false)) return Malformed("bad list of names and values");

  std::string_view fact;
  if (!FindFact(request->facts, "c", fact)) return Malformed("no class");
  request->cls = Named(settings.classes, fact);
  if (request->cls < 0) return {Kind::kUnknownClass, nullptr, {}};
  if (FindFact(request->facts, "t", fact)) request->tenant = Named(settings.tenants, fact);
  request->retry = FindFact(request->facts, "r", fact) && fact == "1";
  request->remaining = settings.classes[request->cls].deadline;
  if (FindFact(request->facts, "d", fact)) {
    std::int64_t ms = 0;
    if (!ParseNumber(fact, ms) || ms < 0) return Malformed("bad d");
    // A client may wait for less than its class does. More would hold its request past a stop.
    auto most = std::chrono::ceil<std::chrono::milliseconds>(request->remaining);
    request->remaining =
        std::min<Duration>(request->remaining, std::chrono::milliseconds(std::min(ms, most.count())));
  }
  return {Kind::kRequest, std::move(request), {}};
}

void AppendServed(evbuffer* out, evbuffer* value) {
  evbuffer_add_printf(out, "$%zu\r\n", evbuffer_get_length(value));
  evbuffer_add_buffer(out, value);
  Append(out, "\r\n");
}

void AppendRejected(evbuffer* out, Duration come_back) {
  auto ms = std::chrono::ceil<std::chrono::milliseconds>(come_back).count();
  if (ms > 0) {
    evbuffer_add_printf(out, "-BUSY %lld\r\n", static_cast<long long>(ms));
  } else {
    Append(out, "-BUSY\r\n");
  }
}

}  // namespace peatbend::net
