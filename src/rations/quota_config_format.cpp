// The canonical form of a table.
#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cctype>

#include "base/text.h"
#include "rations/quota_config_ast.h"
#include "rations/quota_config_times.h"

namespace peatbend::rations {
namespace {

std::string Quoted(const std::string& name) {
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

std::string Name(const std::string& name) {
  auto plain = [](unsigned char c) {
    return (c < 0x80 && std::isalnum(c) != 0) || c == '_' || c == '-' || c == '.';
  };
  return !name.empty() && std::all_of(name.begin(), name.end(), plain) ? name : Quoted(name);
}

// In the unit in which it is shortest, of those that give the same number back.
std::string Rate(double rate) {
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
std::string Names(const std::vector<int>& numbers, const std::vector<T>& of) {
  std::string text;
  for (int number : numbers) text.append(text.empty() ? "" : " or ").append(Name(of.at(number).name));
  return text;
}

std::string Whom(const Quota& ration, const Settings& settings) {
  std::string text;
  auto add = [&](const std::string& item) { text.append(text.empty() ? "" : ", ").append(item); };
  if (!ration.classes.empty()) add("class " + Names(ration.classes, settings.classes));
  if (!ration.tenants.empty()) add("franchisee " + Names(ration.tenants, settings.tenants));
  if (ration.access != AccessKind::kAny) add(ration.access == AccessKind::kReads ? "reads" : "writes");
  if (ration.try_kind != TryKind::kAny) add(ration.try_kind == TryKind::kFirst ? "firsts" : "repeats");
  if (ration.bucket_key & kPerTenant) add("each franchisee");
  if (ration.bucket_key & kPerClass) add("each class");
  if (ration.bucket_key & kPerClient) add("each shop");
  if (ration.bucket_key & kPerKeyPrefix)
    add(fmt::format("each key group of {} characters", ration.key_prefix_length));
  return text.empty() ? "everything" : text;
}

std::string When(const RateOverride& change) {
  std::string text;
  if (change.from_s != INT64_MIN) text = "from " + book::UtcText(change.from_s);
  if (change.to_s != INT64_MAX) text += (text.empty() ? "until " : " to ") + book::UtcText(change.to_s);
  if (change.conditions != kNoCondition) {
    text += text.empty() ? "while " : " while ";
    if (change.conditions & kOriginOverloaded) text += "origin strained";
    if (change.conditions == (kOriginOverloaded | kZoneLost)) text += " and ";
    if (change.conditions & kZoneLost) text += "zone lost";
  }
  return text;
}

}  // namespace

std::string FormatQuotaConfig(const QuotaTable& table, const Settings& settings) {
  std::string out = fmt::format("book reads {}\ntime zone UTC\n", table.language_version);
  for (const RetiredReader& one : table.retired_readers)
    out += fmt::format("retire reader {} statement {} because {};\n", Name(one.reader), one.statement,
                       Quoted(one.reason));
  for (const Quota& ration : table.quotas) {
    out += "ration " + ration.name;
    if (ration.parent >= 0) out += " inside " + table.quotas.at(ration.parent).name;
    out += fmt::format(" {{\n  counts {};\n  rate {};\n  burst {};\n", Whom(ration, settings),
                       Rate(ration.rate.per_second), ration.rate.burst);
    out += ration.hard ? "  hard;\n"
                       : fmt::format("  soft, alone {};\n",
                                     ration.when_unreachable == WhenUnreachable::kReject     ? "reject"
                                     : ration.when_unreachable == WhenUnreachable::kOwnShare ? "own share"
                                                                                             : "open");
    if (ration.borrows) out += "  borrows;\n";
    out +=
        fmt::format("  over: {};\n", ration.over_limit == OverLimitAction::kReject          ? "reject"
                                     : ration.over_limit == OverLimitAction::kLowerPriority ? "rank lower"
                                                                                            : "count only");
    for (const RateOverride& change : ration.overrides) {
      out += fmt::format("  {}: rate {}, burst {};\n", When(change), Rate(change.rate.per_second),
                         change.rate.burst);
    }
    out += "}\n";
  }
  return out;
}

std::uint64_t book::FingerprintOf(const QuotaTable& table, const Settings& settings,
                                  const std::string& canonical) {
  // Names have numbers in the table, and those of all franchisees or classes are in the buckets of 'each'.
  std::vector<bool> tenants(settings.tenants.size()), classes(settings.classes.size());
  for (const Quota& ration : table.quotas) {
    if (ration.bucket_key & kPerTenant) tenants.assign(tenants.size(), true);
    if (ration.bucket_key & kPerClass) classes.assign(classes.size(), true);
    for (int number : ration.tenants) tenants.at(number) = true;
    for (int number : ration.classes) classes.at(number) = true;
  }
  std::string text = canonical;
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    if (tenants[i]) text += fmt::format("franchisee {} {}\n", i, Name(settings.tenants[i].name));
  }
  for (std::size_t i = 0; i < classes.size(); ++i) {
    if (classes[i]) text += fmt::format("class {} {}\n", i, Name(settings.classes[i].name));
  }
  std::uint64_t print = XXH3_64bits(text.data(), text.size());
  return print == 0 ? 1 : print;
}

}  // namespace peatbend::rations
