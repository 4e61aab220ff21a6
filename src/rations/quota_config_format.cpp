// Formats a table in the canonical form of the language.
#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cctype>

#include "base/text.h"
#include "rations/quota_config_ast.h"
#include "rations/quota_config_times.h"

namespace peatbend::rations {
namespace {

std::string Quote(const std::string& name) {
  std::string text = "\"";
  for (char c : name) {
    if (c == '"' || c == '\\') {
      text += '\\';
      text += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      text += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    } else {
      text += c;
    }
  }
  return text + '"';
}

std::string FormatName(const std::string& name) {
  auto plain = [](unsigned char c) {
    return (c < 0x80 && std::isalnum(c) != 0) || c == '_' || c == '-' || c == '.';
  };
  return !name.empty() && std::all_of(name.begin(), name.end(), plain) ? name : Quote(name);
}

// Uses the unit that gives the shortest text, of those from which parsing restores exactly the same rate.
std::string FormatRate(double rate) {
  std::string best = fmt::format("{} a second", rate);
  for (auto [seconds, unit] : {std::pair{60.0, "a minute"}, std::pair{3600.0, "an hour"}}) {
    std::string amount = fmt::format("{}", rate * seconds);
    double back = 0;
    std::string text = fmt::format("{} {}", amount, unit);
    if (ParseNumber(amount, back) && back / seconds == rate && text.size() + 4 < best.size()) best = text;
  }
  return best;
}

template <typename T>
std::string FormatNames(const std::vector<int>& indexes, const std::vector<T>& items) {
  std::string text;
  for (int index : indexes) text.append(text.empty() ? "" : " or ").append(FormatName(items.at(index).name));
  return text;
}

std::string FormatSelectors(const Quota& quota, const Settings& settings) {
  std::string text;
  auto add = [&](const std::string& item) { text.append(text.empty() ? "" : ", ").append(item); };
  if (!quota.classes.empty()) add("class " + FormatNames(quota.classes, settings.classes));
  if (!quota.tenants.empty()) add("franchisee " + FormatNames(quota.tenants, settings.tenants));
  if (quota.access != AccessKind::kAny) add(quota.access == AccessKind::kReads ? "reads" : "writes");
  if (quota.try_kind != TryKind::kAny) add(quota.try_kind == TryKind::kFirst ? "firsts" : "repeats");
  if (quota.bucket_key & kPerTenant) add("each franchisee");
  if (quota.bucket_key & kPerClass) add("each class");
  if (quota.bucket_key & kPerClient) add("each shop");
  if (quota.bucket_key & kPerKeyPrefix)
    add(fmt::format("each key group of {} characters", quota.key_prefix_length));
  return text.empty() ? "everything" : text;
}

std::string FormatWhen(const RateOverride& rate_override) {
  std::string text;
  if (rate_override.from_s != INT64_MIN) text = "from " + book::FormatUtc(rate_override.from_s);
  if (rate_override.to_s != INT64_MAX)
    text += (text.empty() ? "until " : " to ") + book::FormatUtc(rate_override.to_s);
  if (rate_override.conditions != kNoCondition) {
    text += text.empty() ? "while " : " while ";
    if (rate_override.conditions & kOriginOverloaded) text += "origin strained";
    if (rate_override.conditions == (kOriginOverloaded | kZoneLost)) text += " and ";
    if (rate_override.conditions & kZoneLost) text += "zone lost";
  }
  return text;
}

}  // namespace

std::string FormatQuotaConfig(const QuotaTable& table, const Settings& settings) {
  std::string out = fmt::format("book reads {}\ntime zone UTC\n", table.language_version);
  for (const RetiredReader& retired : table.retired_readers)
    out += fmt::format("retire reader {} statement {} because {};\n", FormatName(retired.reader),
                       retired.statement, Quote(retired.reason));
  for (const Quota& quota : table.quotas) {
    out += "ration " + quota.name;
    if (quota.parent >= 0) out += " inside " + table.quotas.at(quota.parent).name;
    out += fmt::format(" {{\n  counts {};\n  rate {};\n  burst {};\n", FormatSelectors(quota, settings),
                       FormatRate(quota.rate.per_second), quota.rate.burst);
    out += quota.hard ? "  hard;\n"
                      : fmt::format("  soft, alone {};\n",
                                    quota.when_unreachable == WhenUnreachable::kReject     ? "reject"
                                    : quota.when_unreachable == WhenUnreachable::kOwnShare ? "own share"
                                                                                           : "open");
    if (quota.borrows) out += "  borrows;\n";
    out += fmt::format("  over: {};\n", quota.over_limit == OverLimitAction::kReject          ? "reject"
                                        : quota.over_limit == OverLimitAction::kLowerPriority ? "rank lower"
                                                                                              : "count only");
    for (const RateOverride& rate_override : quota.overrides) {
      out += fmt::format("  {}: rate {}, burst {};\n", FormatWhen(rate_override),
                         FormatRate(rate_override.rate.per_second), rate_override.rate.burst);
    }
    out += "}\n";
  }
  return out;
}

std::uint64_t book::FingerprintOf(const QuotaTable& table, const Settings& settings,
                                  const std::string& canonical) {
  // The table refers to tenants and classes by index, and buckets of 'each' hash the indexes of all of them.
  // The fingerprint includes the name of every index in use, so that routers that number them differently do
  // not match.
  std::vector<bool> tenants(settings.tenants.size()), classes(settings.classes.size());
  for (const Quota& quota : table.quotas) {
    if (quota.bucket_key & kPerTenant) tenants.assign(tenants.size(), true);
    if (quota.bucket_key & kPerClass) classes.assign(classes.size(), true);
    for (int index : quota.tenants) tenants.at(index) = true;
    for (int index : quota.classes) classes.at(index) = true;
  }
  std::string text = canonical;
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    if (tenants[i]) text += fmt::format("franchisee {} {}\n", i, FormatName(settings.tenants[i].name));
  }
  for (std::size_t i = 0; i < classes.size(); ++i) {
    if (classes[i]) text += fmt::format("class {} {}\n", i, FormatName(settings.classes[i].name));
  }
  std::uint64_t fingerprint = XXH3_64bits(text.data(), text.size());
  return fingerprint == 0 ? 1 : fingerprint;
}

}  // namespace peatbend::rations
