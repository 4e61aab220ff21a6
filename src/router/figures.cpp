// What a router tells of itself: its figures, to operators and in the log.
#include <fmt/format.h>

#include <algorithm>

#include "base/process_memory.h"
#include "router/router.h"

namespace peatbend::net {

void Router::PrintCounters() {
  log_.Metrics("counters", Describe(counters_));
  log_.Metrics("memory counters", MemoryFigures());
  if (peers_) log_.Metrics("peers counters", peers_->Figures());
  if (work_) log_.Metrics("failover counters", work_->Figures());
  if (rations_) log_.Metrics("rations counters", rations_->Figures());
  if (publications_) log_.Metrics("publications counters", publications_->Figures());
  if (schemas_) log_.Metrics("payloads counters", schemas_->Figures());
  if (overload_) log_.Metrics("overload counters", overload_->Figures());
}

// What was reserved beside what the process holds, so that memory held without a reservation shows.
std::vector<Log::Count> Router::MemoryFigures() const {
  ProcessMemory process = ReadProcessMemory();
  return {{"budget", memory_.max},
          {"reserved", memory_.in_use},
          {"reserved_most", memory_.most_in_use},
          {"requests", memory_.used_by(MemoryUse::kRequests)},
          {"unsent_answers", memory_.used_by(MemoryUse::kUnsentAnswers)},
          {"queued_answers", memory_.used_by(MemoryUse::kQueuedAnswers)},
          {"incomplete_answers", memory_.used_by(MemoryUse::kIncompleteAnswers)},
          {"incomplete_answers_held", connections_.held()},
          {"open_requests", decision_.open_requests()},
          {"allocated", process.allocated},
          {"retained", process.retained},
          {"resident", process.resident}};
}

std::string Router::Failover() { return work_ ? work_->Describe() : "fail failover is off"; }

std::string Router::Peers() { return peers_ ? peers_->ToJson() : "fail peers are off"; }

std::string Router::Figures() {
  std::string text;
  auto add = [&text](std::string_view name, std::uint64_t value) {
    fmt::format_to(std::back_inserter(text), "edge_balancer.{}={}\n", name, value);
  };
  for (std::size_t i = 0; i < counters_.classes.size(); ++i) {
    const Counters::PerClass& counts = counters_.classes[i];
    std::string prefix = "replies." + running_.settings.classes[i].name;
    add(prefix + ".success", counts.served);
    add(prefix + ".overload", counts.rejected);
    add(prefix + ".error", counts.failed);
  }
  add("dispatches", counters_.dispatches);
  add("concurrent", decision_.open_requests());
  auto cached = [this](const auto& one) {
    return !running_.settings.cache_aside || one.second.entry.kind != running_.settings.origin_kind;
  };
  add("targets", static_cast<std::uint64_t>(std::ranges::count_if(discovery_watch_.servers(), cached)));
  add("targets_disabled", decision_.balancer().unavailable());
  auto part = [&add](const std::string& prefix, auto& of) {
    if (!of) return;
    for (const auto& [name, value] : of->Figures()) add(prefix + name, value);
  };
  part("peers.", peers_);
  part("failover.", work_);
  part("rations.", rations_);
  part("publications.", publications_);
  part("payloads.", schemas_);
  part("overload.", overload_);
  auto refused = [&text](std::string_view what, std::string_view why) {
    fmt::format_to(std::back_inserter(text), "edge_balancer.{}_refused={}\n", what, why);
  };
  std::string book = publications_ ? publications_->Refused() : "";
  if (!book.empty()) refused("publications.book", book);
  if (schemas_) {
    for (const auto& [subject, why] : schemas_->Refused()) refused("payloads." + subject, why);
  }
  return text;
}

}  // namespace peatbend::net
