#include "base/log.h"

#include <fmt/format.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace peatbend::net {

Log::Log(std::string name, const Tuning::LogLines& tuning, const Clock& clock)
    : name_(std::move(name)),
      tuning_(tuning),
      clock_(clock),
      logger_(name_, std::make_shared<spdlog::sinks::stderr_sink_st>()) {
  logger_.set_formatter(std::make_unique<spdlog::pattern_formatter>("%v"));
  logger_.flush_on(spdlog::level::info);
}

void Log::Line(std::string_view kind, std::string_view text) { Write(kind, text, {}); }

void Log::Metrics(std::string_view kind, std::span<const Count> counts) {
  std::string text;
  for (const auto& [name, value] : counts) {
    fmt::format_to(std::back_inserter(text), "{}{}={}", text.empty() ? "" : " ", name, value);
  }
  Write(kind, text, counts);
}

void Log::Write(std::string_view kind, std::string_view text, std::span<const Count> counts) {
  RateLimit& limit = rate_limits_.try_emplace(std::string(kind)).first->second;
  TimePoint now = clock_.Now();
  if (now - limit.window_start >= tuning_.window) {
    limit.window_start = now;
    limit.lines = 0;
  }
  if (++limit.lines > tuning_.lines_of_a_kind) {
    ++limit.suppressed;
    return;
  }
  std::uint64_t suppressed = std::exchange(limit.suppressed, 0);
  std::string line;
  if (tuning_.format == "json") {
    nlohmann::ordered_json object{
        {"unix_ms", std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count()},
        {"name", name_},
        {"kind", kind}};
    if (counts.empty()) object["text"] = text;
    for (const auto& [name, value] : counts) object["counts"][name] = value;
    if (suppressed > 0) object["suppressed"] = suppressed;
    line = object.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  } else {
    line = fmt::format("peatbend {}: {}: {}", name_, kind, text);
    if (suppressed > 0) line += fmt::format(" ({} lines of this kind suppressed)", suppressed);
    // Text from the network must not be able to forge a log line.
    std::ranges::replace_if(
        line, [](char c) { return static_cast<unsigned char>(c) < ' '; }, ' ');
  }
  logger_.info(spdlog::string_view_t(line));
}

}  // namespace peatbend::net
