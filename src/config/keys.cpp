#include "config/keys.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace peatbend {
namespace {

using net::Tuning;

const TuningKey kKeys[] = {
    {"log.format", Word{{"text", "json"}, [](Tuning& t) -> std::string& { return t.log.format; }}},
    {"log.lines_of_a_kind",
     WholeNumber{1, 100000, [](Tuning& t) -> std::int64_t& { return t.log.lines_of_a_kind; }}},
    {"log.window_ms", Time{100, 3600000, [](Tuning& t) -> net::Milliseconds& { return t.log.window; }}},
    {"clients.share", Share{[](Tuning& t) -> double& { return t.clients.share; }}},
    {"clients.backlog", WholeNumber{1, 65535, [](Tuning& t) -> std::int64_t& { return t.clients.backlog; }}},
    {"clients.accept_pause_ms",
     Time{1, 10000, [](Tuning& t) -> net::Milliseconds& { return t.clients.accept_pause; }}},
    {"clients.first_command_ms",
     Time{10, 600000, [](Tuning& t) -> net::Milliseconds& { return t.clients.first_command; }}},
    {"clients.command_ms",
     Time{10, 600000, [](Tuning& t) -> net::Milliseconds& { return t.clients.command; }}},
    {"clients.linger_ms", Time{0, 60000, [](Tuning& t) -> net::Milliseconds& { return t.clients.linger; }}},
    {"clients.idle_ms", Time{10, 86400000, [](Tuning& t) -> net::Milliseconds& { return t.clients.idle; }}},
    {"clients.unread_ms",
     Time{100, 600000, [](Tuning& t) -> net::Milliseconds& { return t.clients.unread; }}},
    {"clients.owed", WholeNumber{1, 65536, [](Tuning& t) -> std::int64_t& { return t.clients.owed; }}},
    {"clients.unsent_kb",
     WholeNumber{64, 65536, [](Tuning& t) -> std::int64_t& { return t.clients.unsent_kb; }}},
    {"clients.crowded_share", Share{[](Tuning& t) -> double& { return t.clients.crowded_share; }}},
    {"clients.held_share", Share{[](Tuning& t) -> double& { return t.clients.held_share; }}},
    {"clients.silent_in_crowd_ms",
     Time{10, 600000, [](Tuning& t) -> net::Milliseconds& { return t.clients.silent_in_crowd; }}},
    {"clients.about_to_ask_ms",
     Time{0, 60000, [](Tuning& t) -> net::Milliseconds& { return t.clients.about_to_ask; }}},
    {"members.idle_share", Share{[](Tuning& t) -> double& { return t.members.idle_share; }}},
    {"members.settle_ms", Time{0, 1000, [](Tuning& t) -> net::Milliseconds& { return t.members.settle; }}},
    {"members.settle_unsolicited_ms",
     Time{0, 1000, [](Tuning& t) -> net::Milliseconds& { return t.members.settle_unsolicited; }}},
    {"members.dial_timeout_ms",
     Time{1, 60000, [](Tuning& t) -> net::Milliseconds& { return t.members.dial_timeout; }}},
    {"members.keepalive_ms",
     Time{10, 86400000, [](Tuning& t) -> net::Milliseconds& { return t.members.keepalive; }}},
    {"discovery.silence_ms",
     Time{100, 600000, [](Tuning& t) -> net::Milliseconds& { return t.discovery.silence; }}},
    {"discovery.list_kb",
     WholeNumber{4, 65536, [](Tuning& t) -> std::int64_t& { return t.discovery.list_kb; }}},
    {"memory.unread_share", Share{[](Tuning& t) -> double& { return t.memory.unread_share; }}},
    {"stop.keep_listening_ms",
     Time{0, 60000, [](Tuning& t) -> net::Milliseconds& { return t.stop.keep_listening; }}},
    {"stop.slack_ms", Time{0, 60000, [](Tuning& t) -> net::Milliseconds& { return t.stop.slack; }}},
    {"peers.probe_ms", Time{20, 60000, [](Tuning& t) -> net::Milliseconds& { return t.peers.probe; }}},
    {"peers.timeout_ms", Time{5, 30000, [](Tuning& t) -> net::Milliseconds& { return t.peers.timeout; }}},
    {"peers.gossip_ms", Time{10, 60000, [](Tuning& t) -> net::Milliseconds& { return t.peers.gossip; }}},
    {"peers.suspicion_least_ms",
     Time{50, 600000, [](Tuning& t) -> net::Milliseconds& { return t.peers.suspicion_least; }}},
    {"peers.suspicion_most_ms",
     Time{50, 600000, [](Tuning& t) -> net::Milliseconds& { return t.peers.suspicion_most; }}},
    {"peers.stall_ms", Time{150, 600000, [](Tuning& t) -> net::Milliseconds& { return t.peers.stall; }}},
    {"failover.send_permit_ms",
     Time{10, 60000, [](Tuning& t) -> net::Milliseconds& { return t.failover.send_permit; }}},
    {"failover.commit_timeout_ms",
     Time{10, 60000, [](Tuning& t) -> net::Milliseconds& { return t.failover.commit_timeout; }}},
    {"failover.outcome_timeout_ms",
     Time{10, 60000, [](Tuning& t) -> net::Milliseconds& { return t.failover.outcome_timeout; }}},
    {"failover.retain_ms",
     Time{100, 3600000, [](Tuning& t) -> net::Milliseconds& { return t.failover.retain; }}},
    {"rations.draw_ms", Time{1, 1000, [](Tuning& t) -> net::Milliseconds& { return t.rations.draw; }}},
    {"rations.again_ms", Time{5, 10000, [](Tuning& t) -> net::Milliseconds& { return t.rations.again; }}},
    {"rations.alone_after_ms",
     Time{20, 60000, [](Tuning& t) -> net::Milliseconds& { return t.rations.alone_after; }}},
    {"rations.idle_ms", Time{50, 600000, [](Tuning& t) -> net::Milliseconds& { return t.rations.idle; }}},
    {"rations.buckets",
     WholeNumber{100, 10000000, [](Tuning& t) -> std::int64_t& { return t.rations.buckets; }}},
    {"overload.dials_per_second",
     WholeNumber{1, 100000, [](Tuning& t) -> std::int64_t& { return t.overload.dials_per_second; }}},
};

// To be taken out after two releases.
constexpr RenamedKey kRenamed[] = {
    {"pool.silence_ms", "discovery.silence_ms"},
    {"pool.line_kb", "discovery.list_kb"},
    {"takeover.seats", "failover.replicas"},
    {"takeover.alone", "failover.no_quorum"},
    {"takeover.send_within_ms", "failover.send_permit_ms"},
    {"takeover.stands_within_ms", "failover.commit_timeout_ms"},
    {"takeover.ends_within_ms", "failover.outcome_timeout_ms"},
    {"takeover.linger_ms", "failover.retain_ms"},
};

constexpr std::string_view kDeployment[] = {"classes.*.name",
                                            "classes.*.objective",
                                            "classes.*.deadline",
                                            "classes.*.effect",
                                            "classes.*.group",
                                            "classes.*.window",
                                            "classes.*.value",
                                            "classes.*.lateShare",
                                            "classes.*.stream",
                                            "tenants.*.name",
                                            "tenants.*.share",
                                            "tenants.*.allowancePerS",
                                            "zones",
                                            "flavors",
                                            "locality",
                                            "discovery",
                                            "replicasOfMe",
                                            "index",
                                            "overShareWorth",
                                            "countedBy",
                                            "tick",
                                            "specifics.mode",
                                            "specifics.originKind",
                                            "ceilings.tryLimit",
                                            "ceilings.mayCancel",
                                            "ceilings.secondCopies",
                                            "ceilings.retryAfter",
                                            "ceilings.maxRetryAfter",
                                            "ceilings.keepalive",
                                            "ceilings.dialTimeout",
                                            "rules.graceToAnswer",
                                            "rules.askEvery",
                                            "rules.startCapacity",
                                            "rules.warmAfter",
                                            "rules.drainGrace",
                                            "rules.fallMultiple",
                                            "rules.tipAfter",
                                            "rules.countedOver",
                                            "rules.freeResends",
                                            "rules.extraPerRequest",
                                            "tariffs.connection",
                                            "tariffs.handshake"};

constexpr std::string_view kTimes[] = {
    "classes.*.objective",    "classes.*.deadline", "classes.*.window",     "tick",
    "ceilings.maxRetryAfter", "ceilings.keepalive", "ceilings.dialTimeout", "rules.graceToAnswer",
    "rules.askEvery",         "rules.warmAfter",    "rules.drainGrace",     "rules.tipAfter",
    "rules.countedOver"};

// Levenshtein's distance.
std::size_t Edits(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t corner = std::exchange(row[0], i + 1);
    for (std::size_t j = 0; j < b.size(); ++j) {
      std::size_t changed = corner + (a[i] == b[j] ? 0 : 1);
      corner = std::exchange(row[j + 1], std::min({changed, row[j] + 1, row[j + 1] + 1}));
    }
  }
  return row.back();
}

template <typename... F>
struct Overloaded : F... {
  using F::operator()...;
};

}  // namespace

std::span<const TuningKey> TuningKeys() { return kKeys; }

std::span<const RenamedKey> RenamedKeys() { return kRenamed; }

std::string_view NewName(std::string_view old_name) {
  const RenamedKey* found = std::ranges::find(kRenamed, old_name, &RenamedKey::old_name);
  return found == std::end(kRenamed) ? std::string_view() : found->new_name;
}

std::string Shown(const TuningKey& key, const Tuning& tuning) {
  Tuning copy = tuning;
  return std::visit(Overloaded{[&](const WholeNumber& n) { return fmt::format("{}", n.at(copy)); },
                               [&](const Share& s) { return fmt::format("{:.3g}", s.at(copy)); },
                               [&](const Time& t) { return fmt::format("{}", t.at(copy).count()); },
                               [&](const Word& w) { return fmt::format("\"{}\"", w.at(copy)); }},
                    key.value);
}

std::string Allowed(const TuningKey& key) {
  return std::visit(Overloaded{[](const WholeNumber& n) { return fmt::format("{} to {}", n.least, n.most); },
                               [](const Share&) { return std::string("above 0, up to 1"); },
                               [](const Time& t) { return fmt::format("{} to {}", t.least_ms, t.most_ms); },
                               [](const Word& w) { return fmt::format("{}", fmt::join(w.words, " or ")); }},
                    key.value);
}

std::span<const std::string_view> DeploymentPaths() { return kDeployment; }

bool HoldsTime(std::string_view path) { return std::ranges::find(kTimes, path) != std::end(kTimes); }

std::string Nearest(std::string_view name, std::span<const std::string> known) {
  auto nearer = [&](const std::string& a, const std::string& b) { return Edits(name, a) < Edits(name, b); };
  auto at = std::min_element(known.begin(), known.end(), nearer);
  return at == known.end() ? "" : *at;
}

}  // namespace peatbend
