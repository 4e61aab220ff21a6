// The compiler from the syntax tree to a QuotaTable: resolves names, inherits selectors from the enclosing
// quota and expands daily overrides.
#include "rations/quota_config.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <unordered_map>

#include "rations/quota_config_checks.h"
#include "rations/quota_config_names.h"
#include "rations/quota_config_overrides.h"
#include "rations/quota_config_times.h"

namespace peatbend::rations {
namespace book {
namespace {

constexpr int kMaxKeyPrefixLength = 1000;

class Compiler {
 public:
  Compiler(const QuotaConfigAst& ast, const Settings& settings, ErrorList& errors)
      : ast_(ast),
        settings_(settings),
        errors_(errors),
        classes_("class", settings.classes),
        tenants_("franchisee", settings.tenants),
        overrides_(ast.time_zone, errors) {}

  QuotaTable Compile() {
    for (std::size_t i = 0; i < ast_.quotas.size(); ++i)
      first_definitions_.try_emplace(ast_.quotas[i].name.text, i);
    for (std::size_t i = 0; i < ast_.quotas.size(); ++i) {
      table_.quotas.emplace_back();
      locations_.emplace_back();
      std::size_t before = errors_.total;
      CompileQuota(i);
      error_free_.push_back(errors_.total == before);
    }
    CheckQuotaTable(table_, locations_, error_free_, settings_, errors_);
    table_.language_version = ast_.language_version;
    for (const RetireDefinition& definition : ast_.retired_readers) CompileRetired(definition);
    return std::move(table_);
  }

 private:
  void CompileQuota(std::size_t i) {
    const QuotaDefinition& definition = ast_.quotas[i];
    Quota& quota = table_.quotas[i];
    QuotaLocations& locations = locations_[i];
    quota.name = definition.name.text;
    locations.name = definition.name.location;
    if (std::size_t first = first_definitions_.at(quota.name); first != i) {
      errors_.Add(locations.name,
                  fmt::format("ration '{}' is already defined at line {}; another name expected", quota.name,
                              ast_.quotas[first].name.location.line));
    }
    if (definition.parent) SetParent(i, *definition.parent);
    BasicStatements basic = FindBasicStatements(definition);
    auto require = [&](const Statement* statement, const char* keyword) {
      if (statement != nullptr) return true;
      errors_.Add(locations.name, fmt::format("'{}' has no '{}' statement, which is expected in each ration",
                                              quota.name, keyword));
      return false;
    };
    if (require(basic.counts, "counts")) CompileSelectors(*basic.counts, quota);
    if (require(basic.rate, "rate")) {
      locations.rate.rate = basic.rate->rate.location;
      quota.rate.per_second = overrides_.CheckedRate(basic.rate->rate);
    }
    if (require(basic.burst, "burst")) {
      locations.rate.burst = basic.burst->burst.location;
      quota.rate.burst = overrides_.CheckedBurst(basic.burst->burst);
    }
    if (basic.hardness != nullptr && basic.hardness->kind == StatementKind::kSoft) {
      quota.hard = false;
      quota.when_unreachable = basic.hardness->when_unreachable;
    }
    if (basic.over_limit != nullptr) quota.over_limit = basic.over_limit->over_limit;
    quota.borrows = basic.borrows != nullptr;
    if (quota.borrows && !definition.parent) {
      errors_.Add(
          basic.borrows->location,
          fmt::format("'{}' is not inside another ration, so it has nothing to borrow; 'inside' expected",
                      quota.name));
    }
    for (const Statement& statement : definition.statements) {
      if (statement.kind >= StatementKind::kPeriod && !overrides_.Add(statement, quota, locations)) break;
    }
  }

  void CompileRetired(const RetireDefinition& definition) {
    auto check_length = [&](const LocatedText& text, const char* what) {
      if (!text.text.empty() && text.text.size() <= kMaxRetiredTextBytes) return;
      errors_.Add(text.location, fmt::format("{} of 1 to {} bytes expected", what, kMaxRetiredTextBytes));
    };
    check_length(definition.reader, "the name of a reader");
    check_length(definition.reason, "a reason");
    auto same = [&](const RetiredReader& other) { return other.reader == definition.reader.text; };
    if (std::ranges::any_of(table_.retired_readers, same))
      errors_.Add(definition.reader.location,
                  fmt::format("reader '{}' is already retired above; once expected", definition.reader.text));
    table_.retired_readers.push_back({definition.reader.text, definition.statement, definition.reason.text});
  }

  // The statements of a quota that may occur once; null: absent.
  struct BasicStatements {
    const Statement *counts = nullptr, *rate = nullptr, *burst = nullptr, *hardness = nullptr,
                    *borrows = nullptr, *over_limit = nullptr;
  };
  BasicStatements FindBasicStatements(const QuotaDefinition& definition) {
    BasicStatements basic;
    auto slot = [&](StatementKind kind) -> const Statement*& {
      switch (kind) {
        case StatementKind::kCounts:
          return basic.counts;
        case StatementKind::kRate:
          return basic.rate;
        case StatementKind::kBurst:
          return basic.burst;
        case StatementKind::kBorrows:
          return basic.borrows;
        case StatementKind::kOverLimit:
          return basic.over_limit;
        default:
          return basic.hardness;
      }
    };
    for (const Statement& statement : definition.statements) {
      if (statement.kind >= StatementKind::kPeriod) continue;
      if (const Statement*& first = slot(statement.kind); first == nullptr) {
        first = &statement;
      } else {
        errors_.Add(statement.location,
                    fmt::format("'{}' has this statement already at line {}; once expected",
                                definition.name.text, first->location.line));
      }
    }
    return basic;
  }

  void SetParent(std::size_t i, const LocatedText& parent_name) {
    Quota& quota = table_.quotas[i];
    auto found = first_definitions_.find(parent_name.text);
    if (parent_name.text == quota.name) {
      errors_.Add(
          parent_name.location,
          fmt::format("'{}' cannot be inside itself; a ration defined above expected", parent_name.text));
    } else if (found == first_definitions_.end()) {
      std::vector<std::string> previous;
      for (std::size_t n = 0; n < i; ++n) previous.push_back(table_.quotas[n].name);
      errors_.Add(parent_name.location, UnknownNameMessage("ration", parent_name.text, previous));
    } else if (found->second > i) {
      errors_.Add(parent_name.location,
                  fmt::format("ration '{}' is defined later, at line {}; a ration defined above expected",
                              parent_name.text, ast_.quotas[found->second].name.location.line));
    } else {
      quota.parent = static_cast<int>(found->second);
      const Quota& parent = table_.quotas[found->second];
      std::size_t depth = 1;
      for (int n = quota.parent; n >= 0; n = table_.quotas[n].parent) ++depth;
      if (depth > kMaxQuotaDepth) {
        errors_.Add(parent_name.location,
                    fmt::format("'{}' would be nested {} deep; at most {} rations inside each other expected",
                                quota.name, depth, kMaxQuotaDepth));
        quota.parent = -1;
        return;
      }
      quota.tenants = parent.tenants;
      quota.classes = parent.classes;
      quota.access = parent.access;
      quota.try_kind = parent.try_kind;
      quota.bucket_key = parent.bucket_key;
      quota.key_prefix_length = parent.key_prefix_length;
    }
  }

  // Compiles the `counts` statement. `quota` still has the selectors inherited from its parent, which must
  // count all of these requests too.
  void CompileSelectors(const Statement& statement, Quota& quota) {
    const Selector* seen[6] = {};  // everything, access, try kind, classes, tenants, bucket key
    unsigned bucket_key = kSingleBucket;
    for (const Selector& selector : statement.selectors) {
      static constexpr int kSlots[] = {0, 1, 1, 2, 2, 3, 4, 5, 5, 5, 5};
      int slot = kSlots[static_cast<int>(selector.kind)];
      if (slot == 5) {
        unsigned bit = 1u << (static_cast<int>(selector.kind) - static_cast<int>(SelectorKind::kEachTenant));
        if ((bucket_key & bit) != 0) {
          errors_.Add(selector.location, "'each' has this attribute already; once expected");
        } else if (selector.kind == SelectorKind::kEachKeyPrefix) {
          SetKeyPrefixLength(selector, quota);
        }
        bucket_key |= bit;
        continue;
      }
      bool redundant = seen[0] != nullptr || (slot == 0 && (seen[1] || seen[2] || seen[3] || seen[4]));
      if (redundant) {
        errors_.Add(selector.location, "'everything' counts all requests; alone or with 'each' expected");
      } else if (seen[slot] != nullptr) {
        errors_.Add(selector.location, ConflictMessage(slot, seen[slot]->kind == selector.kind));
      } else if (slot != 0) {
        Narrow(selector, quota);
      }
      if (seen[slot] == nullptr) seen[slot] = &selector;
    }
    quota.bucket_key |= bucket_key;
  }

  static std::string ConflictMessage(int slot, bool same) {
    if (slot == 1 && !same)
      return "no request is both a read and a write, so none is counted; one of the two expected, or neither";
    if (slot == 2 && !same)
      return "no request is both a first try and a retry, so none is counted; one of the two expected, or "
             "neither";
    if (slot == 3) return "a request has one class only; names joined by 'or' expected";
    if (slot == 4) return "a request has one franchisee only; names joined by 'or' expected";
    return "this is listed already; once expected";
  }

  void Narrow(const Selector& selector, Quota& quota) {
    auto add_error = [&](const std::string& what) {
      errors_.Add(
          selector.location,
          fmt::format("'{}', which '{}' is inside of, does not count {}; a part of what it counts expected",
                      table_.quotas[quota.parent].name, quota.name, what));
    };
    switch (selector.kind) {
      case SelectorKind::kReads:
        quota.access == AccessKind::kWrites ? add_error("reads") : void(quota.access = AccessKind::kReads);
        break;
      case SelectorKind::kWrites:
        quota.access == AccessKind::kReads ? add_error("writes") : void(quota.access = AccessKind::kWrites);
        break;
      case SelectorKind::kFirstTries:
        quota.try_kind == TryKind::kRetry ? add_error("firsts") : void(quota.try_kind = TryKind::kFirst);
        break;
      case SelectorKind::kRetries:
        quota.try_kind == TryKind::kFirst ? add_error("repeats") : void(quota.try_kind = TryKind::kRetry);
        break;
      case SelectorKind::kClasses:
      case SelectorKind::kTenants: {
        bool classes = selector.kind == SelectorKind::kClasses;
        auto indexes = (classes ? classes_ : tenants_).Resolve(selector.names, errors_);
        if (!indexes) break;
        std::vector<int>& list = classes ? quota.classes : quota.tenants;
        for (std::size_t n = 0; n < indexes->size(); ++n) {
          if (!list.empty() && !std::binary_search(list.begin(), list.end(), (*indexes)[n])) {
            add_error(fmt::format("{} '{}'", classes ? "class" : "franchisee", selector.names[n].text));
            return;
          }
        }
        std::sort(indexes->begin(), indexes->end());
        list = std::move(*indexes);
        break;
      }
      default:
        break;
    }
  }

  void SetKeyPrefixLength(const Selector& selector, Quota& quota) {
    double n = selector.prefix_length.value;
    if (n < 1 || n > kMaxKeyPrefixLength || n != static_cast<int>(n)) {
      errors_.Add(selector.prefix_length.location,
                  fmt::format("a whole number of characters from 1 to {} expected", kMaxKeyPrefixLength));
    } else if (n < quota.key_prefix_length) {
      errors_.Add(
          selector.prefix_length.location,
          fmt::format(
              "'{}', which '{}' is inside of, has a bucket for each group of {} characters; at least as "
              "many expected",
              table_.quotas[quota.parent].name, quota.name, quota.key_prefix_length));
    } else {
      quota.key_prefix_length = static_cast<int>(n);
    }
  }

  const QuotaConfigAst& ast_;
  const Settings& settings_;
  ErrorList& errors_;
  NameIndex classes_, tenants_;
  OverrideCompiler overrides_;
  std::unordered_map<std::string, std::size_t> first_definitions_;
  QuotaTable table_;
  std::vector<QuotaLocations> locations_;
  std::vector<bool> error_free_;
};

}  // namespace
}  // namespace book

namespace {

std::string JoinErrors(const std::string& file, const std::vector<QuotaConfigError>& errors) {
  std::string text;
  for (const QuotaConfigError& error : errors) {
    text += fmt::format("{}{}:{}:{}: {}", text.empty() ? "" : "\n", file, error.line, error.column,
                        error.message);
  }
  return text;
}

}  // namespace

InvalidQuotaConfig::InvalidQuotaConfig(const std::string& file, std::vector<QuotaConfigError> errors)
    : std::runtime_error(JoinErrors(file, errors)), errors_(std::move(errors)) {}

QuotaTable ParseQuotaConfig(std::string_view text, const Settings& settings, const std::string& file,
                            int max_language_version) {
  book::ErrorList errors;
  auto throw_if_any = [&] {
    if (errors.entries.empty()) return;
    std::stable_sort(errors.entries.begin(), errors.entries.end(),
                     [](const QuotaConfigError& a, const QuotaConfigError& b) {
                       return std::pair(a.line, a.column) < std::pair(b.line, b.column);
                     });
    throw InvalidQuotaConfig(file, std::move(errors.entries));
  };
  if (text.size() > kMaxQuotaConfigBytes) {
    errors.Add({},
               fmt::format("the book has {} bytes; at most {} expected", text.size(), kMaxQuotaConfigBytes));
    throw_if_any();
  }
  book::QuotaConfigAst ast = book::ParseAst(text, errors, max_language_version);
  throw_if_any();
  QuotaTable table = book::Compiler(ast, settings, errors).Compile();
  throw_if_any();
  std::string canonical = FormatQuotaConfig(table, settings);
  if (canonical.size() > kMaxQuotaConfigBytes) {
    errors.Add({}, fmt::format("the book's canonical form, with daily hours expanded to days, has {} "
                               "bytes; at most {} expected",
                               canonical.size(), kMaxQuotaConfigBytes));
    throw_if_any();
  }
  table.fingerprint = book::FingerprintOf(table, settings, canonical);
  return table;
}

}  // namespace peatbend::rations
