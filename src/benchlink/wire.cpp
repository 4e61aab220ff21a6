#include "wire.h"

#include <charconv>
#include <limits>

#include "base/text.h"

namespace peatbend::benchlink {
namespace {

constexpr std::uint64_t kMaxListNumber = 15;     // largest list number
constexpr std::uint64_t kMaxToken = 1ULL << 63;  // largest token

template <typename T>
void AppendNumber(std::string& out, T value) {
  char buffer[24];
  auto [end, ec] = std::to_chars(buffer, buffer + sizeof buffer, value);
  (void)ec;
  out.append(buffer, end);
}

constexpr std::pair<std::string_view, Result> kResults[] = {
    {"GOOD", Result::kGood},     {"MISS", Result::kMiss},     {"LATE", Result::kLate},
    {"FULL", Result::kFull},     {"NOCONN", Result::kNoConn}, {"RST", Result::kReset},
    {"CXL", Result::kCancelled}, {"BAD", Result::kBad},       {"NOP", Result::kNeverSent}};

}  // namespace

Settings ParseSettings(std::string_view pairs) {
  Settings settings;
  while (!pairs.empty()) {
    std::string_view value = NextField(pairs, ' ');
    std::string_view path = NextField(value, '=');
    SetByPath(settings, path, value);
  }
  return settings;
}

void AppendAction(std::string& out, std::uint64_t instance, const Action& action) {
  auto start = [&](std::string_view name) {
    out.append(name).append(" i=");
    AppendNumber(out, instance);
  };
  auto number = [&](std::string_view name, auto value) {
    out.append(name);
    AppendNumber(out, value);
  };
  if (const auto* send = std::get_if<Send>(&action)) {
    start("TRANSMIT");
    number(" tid=", static_cast<std::uint32_t>(send->id));
    out.append(" node=").append(send->server.name);
    number(" giveUpAfter=", send->give_up_after.count());
  } else if (const auto* reject = std::get_if<Reject>(&action)) {
    start("REFUSE");
    number(" tid=", static_cast<std::uint32_t>(reject->id));
    if (reject->backoff > Duration::zero()) number(" backoff=", reject->backoff.count());
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    start("REPORT_FAILURE");
    number(" tid=", static_cast<std::uint32_t>(fail->id));
  } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
    start("DROP_ATTEMPT");
    number(" tid=", static_cast<std::uint32_t>(cancel->id));
    number(" shot=", cancel->attempt);
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    start("NOTIFY_ME");
    number(" mark=", static_cast<std::uint64_t>(timer->id));
    number(" in=", timer->delay.count());
  } else if (std::holds_alternative<Subscribe>(action)) {
    start("KEEP_INFORMED");
    out.append(" want=1");
  } else if (const auto* release = std::get_if<CloseIdleConnections>(&action)) {
    start("RELEASE");
    out.append(" node=").append(release->server.name);
  } else if (const auto* log = std::get_if<Log>(&action)) {
    start("SAY_LOG");
    out.append(" text=").append(log->text);
  }
  out.push_back('\n');
}

// The name=value fields of one line.
class Session::Fields {
 public:
  Fields(const Session& session, std::string_view rest) : session_(session) {
    while (!rest.empty()) {
      std::size_t end = rest.find(' ');
      std::string_view part = rest.substr(0, end);
      std::size_t equals = part.find('=');
      if (equals == std::string_view::npos || equals == 0) session_.ThrowMalformed("name=value", part);
      std::string_view name = part.substr(0, equals);
      Add(name, part.substr(equals + 1));
      rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    }
  }

  std::string_view Text(std::string_view name) const {
    const std::string_view* value = Find(name);
    if (value == nullptr) session_.ThrowMalformed(std::string("field ").append(name), "none");
    return *value;
  }
  std::string_view TextOr(std::string_view name, std::string_view fallback) const {
    const std::string_view* value = Find(name);
    return value == nullptr ? fallback : *value;
  }
  template <typename T>
  T Number(std::string_view name, T min, T max, int base = 10) const {
    T value{};
    std::string_view text = Text(name);
    if (!ParseNumber(text, value, base) || value < min || value > max) {
      session_.ThrowMalformed(std::string(name).append(" in range"), text);
    }
    return value;
  }
  template <typename T>
  T NumberOr(std::string_view name, T fallback, T min, T max) const {
    return Find(name) == nullptr ? fallback : Number<T>(name, min, max);
  }
  bool Has(std::string_view name) const { return Find(name) != nullptr; }
  std::int64_t NonNegative(std::string_view name) const {
    return Number<std::int64_t>(name, 0, std::numeric_limits<std::int64_t>::max());
  }
  std::int64_t NonNegativeOrZero(std::string_view name) const { return Has(name) ? NonNegative(name) : 0; }
  std::uint64_t Instance() const {
    return Number<std::uint64_t>("i", 0, std::numeric_limits<std::uint64_t>::max());
  }
  RequestId Request() const {
    return RequestId{Number<std::uint32_t>("tid", 0, std::numeric_limits<std::uint32_t>::max())};
  }

 private:
  void Add(std::string_view name, std::string_view value) {
    if (count_ == kMaxFields) session_.ThrowMalformed("fewer fields", name);
    names_[count_] = name;
    values_[count_++] = value;
  }
  const std::string_view* Find(std::string_view name) const {
    for (std::size_t i = 0; i < count_; ++i) {
      if (names_[i] == name) return &values_[i];
    }
    return nullptr;
  }
  static constexpr std::size_t kMaxFields = 32;
  const Session& session_;
  std::string_view names_[kMaxFields];
  std::string_view values_[kMaxFields];
  std::size_t count_ = 0;
};

void Session::ThrowMalformed(std::string_view expected, std::string_view found) const {
  std::string text = "line ";
  AppendNumber(text, line_);
  text.append(": expected ").append(expected).append(", found ").append(found.substr(0, 80));
  throw WireError(text);
}

bool Session::HandleLine(std::string_view line, std::string& reply) {
  ++line_;
  std::string_view rest = line;
  std::string_view name = NextField(rest, ' ');
  if (name.empty() && rest.empty()) {
    if (in_batch_) ThrowMalformed("an event or END", "an empty line");
    return false;
  }
  if (rows_left_ > 0 && name != "ROW") ThrowMalformed("ROW", name);
  if (!in_batch_) {
    if (name != "BEGIN_BATCH") ThrowMalformed("BEGIN_BATCH", name);
    Fields fields(*this, rest);
    TimePoint now{Duration(fields.NonNegative("atTime"))};
    if (now < now_) ThrowMalformed("atTime not before the last batch's", fields.Text("atTime"));
    now_ = now;
    batch_turn_ = static_cast<std::uint64_t>(fields.NonNegative("turn"));
    in_batch_ = true;
    return false;
  }
  if (name == "END") {
    reply.append("FINISHED turn=");
    AppendNumber(reply, batch_turn_);
    reply.push_back('\n');
    in_batch_ = false;
    return true;
  }
  if (name == "INIT") {
    StartInstance(rest, reply);
    return false;
  }
  Fields fields(*this, rest);
  HandleEvent(name, fields, reply);
  return false;
}

void Session::Deliver(std::uint64_t instance, const Event& event, std::string& reply) {
  auto at = instances_.find(instance);
  if (at == instances_.end()) return;  // the instance was halted or never started
  actions_.clear();
  try {
    at->second->Handle(now_, event, actions_);
  } catch (const std::invalid_argument& error) {
    reply.append("PANIC i=");
    AppendNumber(reply, instance);
    reply.append(" text=").append(error.what()).push_back('\n');
  }
  for (const Action& action : actions_) AppendAction(reply, instance, action);
}

// An INIT line has the fields i and prng, followed by the settings as path=value pairs.
void Session::StartInstance(std::string_view rest, std::string& reply) {
  std::string_view line_fields = rest;
  for (std::size_t end = 0; end != std::string_view::npos; end = rest.find(' ', end + 1)) {
    std::string_view part = rest.substr(end == 0 ? 0 : end + 1);
    if (part.starts_with("i=") || part.starts_with("prng=")) continue;
    line_fields = rest.substr(0, end);
    break;
  }
  Fields fields(*this, line_fields);
  std::uint64_t instance = fields.Instance();
  auto seed = fields.Number<std::uint64_t>("prng", 0, kMaxToken);
  try {
    instances_[instance] = std::make_unique<Balancer>(ParseSettings(rest), seed);
  } catch (const std::invalid_argument& error) {
    instances_.erase(instance);
    reply.append("PANIC i=");
    AppendNumber(reply, instance);
    reply.append(" text=").append(error.what()).push_back('\n');
  }
}

void Session::HandleEvent(std::string_view name, Fields& fields, std::string& reply) {
  constexpr int kMaxIndex = 1 << 20;  // largest class, tenant, zone or cell number
  if (name == "NEW_REQUEST") {
    RequestEvent event;
    event.id = fields.Request();
    if (fields.Has("object")) {
      event.key = Key{fields.Number<std::uint64_t>("object", 0, ~0ULL, 16)};
    }
    event.tenant = fields.NumberOr<int>("account", 0, 0, kMaxIndex);
    event.cls = fields.Number<int>("kind", 0, kMaxIndex);
    event.write = fields.NumberOr<int>("update", 0, 0, 1) == 1;
    event.retry = fields.NumberOr<int>("retry", 0, 0, 1) == 1;
    event.work_hint = Duration(fields.NonNegativeOrZero("estimate"));
    event.remaining = Duration(fields.NonNegative("remaining"));
    Deliver(fields.Instance(), event, reply);
  } else if (name == "RESULT") {
    OutcomeEvent event;
    event.id = fields.Request();
    event.attempt = fields.Number<int>("shot", 0, kMaxIndex);
    event.server = fields.Text("node");
    std::string_view outcome = fields.Text("outcome");
    bool known = false;
    for (const auto& [text, result] : kResults) {
      if (outcome == text) {
        event.result = result;
        known = true;
      }
    }
    if (!known) ThrowMalformed("a known outcome", outcome);
    event.cache_status = static_cast<CacheStatus>(fields.NumberOr<int>("info", 0, 0, kMaxIndex));
    event.elapsed = Duration(fields.NonNegativeOrZero("delaySeen"));
    event.done = fields.NumberOr<int>("doneFlag", 0, 0, 1) == 1;
    event.load = ParseLoadReport(fields.TextOr("telemetry", ""));
    Deliver(fields.Instance(), event, reply);
  } else if (name == "BELL") {
    Deliver(fields.Instance(), TimerEvent{TimerId{fields.Number<std::uint64_t>("mark", 0, kMaxToken)}},
            reply);
  } else if (name == "HANGUP") {
    Deliver(fields.Instance(), ClientGoneEvent{fields.Request()}, reply);
  } else if (name == "ACCEPTED") {
    Deliver(fields.Instance(), StreamStartEvent{fields.Request(), fields.Number<int>("shot", 0, kMaxIndex)},
            reply);
  } else if (name == "MANIFEST") {
    current_list_ = &server_lists_[fields.Number<std::uint64_t>("buffer", 0, kMaxListNumber)];
    current_list_->clear();
    rows_left_ = fields.Number<std::uint64_t>("elements", 0, ~0ULL);
  } else if (name == "ROW") {
    if (rows_left_ == 0) ThrowMalformed("no ROW beyond those counted", name);
    --rows_left_;
    ServerEntry entry;
    entry.state = static_cast<ServerState>(fields.Number<int>("condition", 0, 2));
    entry.id = ServerId{std::string(fields.Text("node"))};
    if (entry.id.name.empty()) ThrowMalformed("a node's name", "nothing");
    entry.kind = fields.NumberOr<int>("kind", 0, 0, kMaxIndex);
    entry.cell = fields.NumberOr<int>("group", 0, 0, kMaxIndex);
    entry.zone = fields.NumberOr<int>("area", 0, 0, kMaxIndex);
    entry.started = TimePoint(Duration(fields.NonNegativeOrZero("readyAt")));
    entry.weight = fields.NumberOr<double>("heft", 1, 0, 1e9);
    current_list_->push_back(std::move(entry));
  } else if (name == "REGISTRY") {
    MembershipEvent event;
    event.scope = static_cast<Scope>(fields.Number<int>("scope", 0, 3));
    if (event.scope != Scope::kFailed) {
      auto list = server_lists_.find(fields.Number<std::uint64_t>("buffer", 0, kMaxListNumber));
      if (list == server_lists_.end())
        ThrowMalformed("a buffer that a MANIFEST filled", fields.Text("buffer"));
      event.entries = list->second;
    }
    Deliver(fields.Instance(), event, reply);
  } else if (name == "HALT") {
    instances_.erase(fields.Instance());
  } else if (name != "SAMPLED" && name != "MESSAGE") {  // no instance asks for probes or sends messages
    ThrowMalformed("a known event", name);
  }
}

}  // namespace peatbend::benchlink
