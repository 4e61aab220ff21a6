// From statements to a table: names resolved, what is not said taken from the ration around, days counted
// out.
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

constexpr int kMostCharacters = 1000;

class Compiler {
 public:
  Compiler(const BookText& book, const Settings& settings, Faults& faults)
      : book_(book),
        settings_(settings),
        faults_(faults),
        classes_("class", settings.classes),
        tenants_("franchisee", settings.tenants),
        changes_(book.zone, faults) {}

  QuotaTable Compile() {
    for (std::size_t i = 0; i < book_.rations.size(); ++i) stated_.try_emplace(book_.rations[i].name.text, i);
    for (std::size_t i = 0; i < book_.rations.size(); ++i) {
      table_.quotas.emplace_back();
      places_.emplace_back();
      std::size_t before = faults_.found;
      CompileRation(i);
      whole_.push_back(faults_.found == before);
    }
    CheckTable(table_, places_, whole_, settings_, faults_);
    table_.language_version = book_.reads;
    for (const RetiredText& one : book_.retired) Retire(one);
    return std::move(table_);
  }

 private:
  void CompileRation(std::size_t i) {
    const RationText& text = book_.rations[i];
    Quota& ration = table_.quotas[i];
    RationPlaces& places = places_[i];
    ration.name = text.name.text;
    places.name = text.name.at;
    if (std::size_t first = stated_.at(ration.name); first != i) {
      faults_.Add(places.name,
                  fmt::format("there is a ration '{}' already, at line {}; another name expected",
                              ration.name, book_.rations[first].name.at.line));
    }
    if (text.inside) PutInside(i, *text.inside);
    Said said = Sort(text);
    auto need = [&](const Statement* statement, const char* word) {
      if (statement != nullptr) return true;
      faults_.Add(places.name,
                  fmt::format("'{}' does not say '{}', which is expected of each ration", ration.name, word));
      return false;
    };
    if (need(said.counts, "counts")) Count(*said.counts, ration);
    if (need(said.rate, "rate")) {
      places.pace.rate = said.rate->rate.at;
      ration.rate.per_second = changes_.Rate(said.rate->rate);
    }
    if (need(said.burst, "burst")) {
      places.pace.burst = said.burst->burst.at;
      ration.rate.burst = changes_.Burst(said.burst->burst);
    }
    if (said.hardness != nullptr && said.hardness->says == Says::kSoft) {
      ration.hard = false;
      ration.when_unreachable = said.hardness->alone;
    }
    if (said.over != nullptr) ration.over_limit = said.over->over;
    ration.borrows = said.borrows != nullptr;
    if (ration.borrows && !text.inside) {
      faults_.Add(said.borrows->at,
                  fmt::format("'{}' is inside no ration, so there is nothing to borrow; 'inside' expected",
                              ration.name));
    }
    for (const Statement& statement : text.statements) {
      if (statement.says >= Says::kPeriod && !changes_.Add(statement, ration, places)) break;
    }
  }

  void Retire(const RetiredText& one) {
    auto fits = [&](const Word& word, const char* what) {
      if (!word.text.empty() && word.text.size() <= kMaxRetiredTextBytes) return;
      faults_.Add(word.at, fmt::format("{} of 1 to {} bytes expected", what, kMaxRetiredTextBytes));
    };
    fits(one.reader, "the name of a reader");
    fits(one.why, "a reason");
    auto same = [&](const RetiredReader& other) { return other.reader == one.reader.text; };
    if (std::ranges::any_of(table_.retired_readers, same))
      faults_.Add(one.reader.at, fmt::format("reader '{}' is retired above; once expected", one.reader.text));
    table_.retired_readers.push_back({one.reader.text, one.statement, one.why.text});
  }

  // A ration's statements other than changes; null: not said.
  struct Said {
    const Statement *counts = nullptr, *rate = nullptr, *burst = nullptr, *hardness = nullptr,
                    *borrows = nullptr, *over = nullptr;
  };
  Said Sort(const RationText& text) {
    Said said;
    auto slot = [&](Says says) -> const Statement*& {
      switch (says) {
        case Says::kCounts:
          return said.counts;
        case Says::kRate:
          return said.rate;
        case Says::kBurst:
          return said.burst;
        case Says::kBorrows:
          return said.borrows;
        case Says::kOver:
          return said.over;
        default:
          return said.hardness;
      }
    };
    for (const Statement& statement : text.statements) {
      if (statement.says >= Says::kPeriod) continue;
      if (const Statement*& first = slot(statement.says); first == nullptr) {
        first = &statement;
      } else {
        faults_.Add(statement.at, fmt::format("'{}' says this already at line {}; once expected",
                                              text.name.text, first->at.line));
      }
    }
    return said;
  }

  void PutInside(std::size_t i, const Word& inside) {
    Quota& ration = table_.quotas[i];
    auto at = stated_.find(inside.text);
    if (inside.text == ration.name) {
      faults_.Add(inside.at,
                  fmt::format("'{}' cannot be inside itself; a ration stated above expected", inside.text));
    } else if (at == stated_.end()) {
      std::vector<std::string> above;
      for (std::size_t n = 0; n < i; ++n) above.push_back(table_.quotas[n].name);
      faults_.Add(inside.at, UnknownName("ration", inside.text, above));
    } else if (at->second > i) {
      faults_.Add(inside.at,
                  fmt::format("ration '{}' is stated later, at line {}; a ration stated above expected",
                              inside.text, book_.rations[at->second].name.at.line));
    } else {
      ration.parent = static_cast<int>(at->second);
      const Quota& around = table_.quotas[at->second];
      std::size_t depth = 1;
      for (int n = ration.parent; n >= 0; n = table_.quotas[n].parent) ++depth;
      if (depth > kMaxQuotaDepth) {
        faults_.Add(inside.at,
                    fmt::format("'{}' would be {} deep; at most {} rations inside each other expected",
                                ration.name, depth, kMaxQuotaDepth));
        ration.parent = -1;
        return;
      }
      ration.tenants = around.tenants;
      ration.classes = around.classes;
      ration.access = around.access;
      ration.try_kind = around.try_kind;
      ration.bucket_key = around.bucket_key;
      ration.key_prefix_length = around.key_prefix_length;
    }
  }

  // What the statement counts must be counted by the ration around too, whose own words `ration` has so far.
  void Count(const Statement& statement, Quota& ration) {
    const Counted* met[6] = {};  // everything, kind, turn, classes, tenants, and each of what
    unsigned each = kSingleBucket;
    for (const Counted& counted : statement.counted) {
      static constexpr int kSlots[] = {0, 1, 1, 2, 2, 3, 4, 5, 5, 5, 5};
      int slot = kSlots[static_cast<int>(counted.item)];
      if (slot == 5) {
        unsigned bit = 1u << (static_cast<int>(counted.item) - static_cast<int>(Item::kEachTenant));
        if ((each & bit) != 0) {
          faults_.Add(counted.at, "this is counted each already; once expected");
        } else if (counted.item == Item::kEachKeyGroup) {
          SetKeyGroup(counted, ration);
        }
        each |= bit;
        continue;
      }
      bool other = met[0] != nullptr || (slot == 0 && (met[1] || met[2] || met[3] || met[4]));
      if (other) {
        faults_.Add(counted.at, "'everything' leaves nothing out; alone or with 'each' expected");
      } else if (met[slot] != nullptr) {
        faults_.Add(counted.at, Never(slot, met[slot]->item == counted.item));
      } else if (slot != 0) {
        Narrow(counted, ration);
      }
      if (met[slot] == nullptr) met[slot] = &counted;
    }
    ration.bucket_key |= each;
  }

  static std::string Never(int slot, bool same) {
    if (slot == 1 && !same)
      return "no request both reads and writes, so none is counted; one of the two expected, or neither";
    if (slot == 2 && !same)
      return "no request is both a first and a repeat, so none is counted; one of the two expected, or "
             "neither";
    if (slot == 3) return "what is counted is of one class and of another; names joined by 'or' expected";
    if (slot == 4)
      return "what is counted is of one franchisee and of another; names joined by 'or' expected";
    return "this stands here already; once expected";
  }

  void Narrow(const Counted& counted, Quota& ration) {
    auto beyond = [&](const std::string& what) {
      faults_.Add(
          counted.at,
          fmt::format("'{}', which '{}' is inside of, does not count {}; part of what it counts expected",
                      table_.quotas[ration.parent].name, ration.name, what));
    };
    switch (counted.item) {
      case Item::kReads:
        ration.access == AccessKind::kWrites ? beyond("reads") : void(ration.access = AccessKind::kReads);
        break;
      case Item::kWrites:
        ration.access == AccessKind::kReads ? beyond("writes") : void(ration.access = AccessKind::kWrites);
        break;
      case Item::kFirsts:
        ration.try_kind == TryKind::kRetry ? beyond("firsts") : void(ration.try_kind = TryKind::kFirst);
        break;
      case Item::kRepeats:
        ration.try_kind == TryKind::kFirst ? beyond("repeats") : void(ration.try_kind = TryKind::kRetry);
        break;
      case Item::kClasses:
      case Item::kTenants: {
        bool classes = counted.item == Item::kClasses;
        auto found = (classes ? classes_ : tenants_).Find(counted.names, faults_);
        if (!found) break;
        std::vector<int>& list = classes ? ration.classes : ration.tenants;
        for (std::size_t n = 0; n < found->size(); ++n) {
          if (!list.empty() && !std::binary_search(list.begin(), list.end(), (*found)[n])) {
            beyond(fmt::format("{} '{}'", classes ? "class" : "franchisee", counted.names[n].text));
            return;
          }
        }
        std::sort(found->begin(), found->end());
        list = std::move(*found);
        break;
      }
      default:
        break;
    }
  }

  void SetKeyGroup(const Counted& counted, Quota& ration) {
    double n = counted.characters.value;
    if (n < 1 || n > kMostCharacters || n != static_cast<int>(n)) {
      faults_.Add(counted.characters.at,
                  fmt::format("a whole number of characters from 1 to {} expected", kMostCharacters));
    } else if (n < ration.key_prefix_length) {
      faults_.Add(
          counted.characters.at,
          fmt::format(
              "'{}', which '{}' is inside of, has a bucket for each group of {} characters; at least as "
              "many expected",
              table_.quotas[ration.parent].name, ration.name, ration.key_prefix_length));
    } else {
      ration.key_prefix_length = static_cast<int>(n);
    }
  }

  const BookText& book_;
  const Settings& settings_;
  Faults& faults_;
  Names classes_, tenants_;
  ChangeReader changes_;
  std::unordered_map<std::string, std::size_t> stated_;
  QuotaTable table_;
  std::vector<RationPlaces> places_;
  std::vector<bool> whole_;
};

}  // namespace
}  // namespace book

namespace {

std::string Joined(const std::string& file, const std::vector<QuotaConfigError>& errors) {
  std::string text;
  for (const QuotaConfigError& error : errors) {
    text += fmt::format("{}{}:{}:{}: {}", text.empty() ? "" : "\n", file, error.line, error.column,
                        error.message);
  }
  return text;
}

}  // namespace

InvalidQuotaConfig::InvalidQuotaConfig(const std::string& file, std::vector<QuotaConfigError> errors)
    : std::runtime_error(Joined(file, errors)), errors_(std::move(errors)) {}

QuotaTable ParseQuotaConfig(std::string_view text, const Settings& settings, const std::string& file,
                            int reads) {
  book::Faults faults;
  auto check = [&] {
    if (faults.list.empty()) return;
    std::stable_sort(faults.list.begin(), faults.list.end(),
                     [](const QuotaConfigError& a, const QuotaConfigError& b) {
                       return std::pair(a.line, a.column) < std::pair(b.line, b.column);
                     });
    throw InvalidQuotaConfig(file, std::move(faults.list));
  };
  if (text.size() > kMaxQuotaConfigBytes) {
    faults.Add({},
               fmt::format("the book has {} bytes; at most {} expected", text.size(), kMaxQuotaConfigBytes));
    check();
  }
  book::BookText written = book::ParseBook(text, faults, reads);
  check();
  QuotaTable table = book::Compiler(written, settings, faults).Compile();
  check();
  std::string canonical = FormatQuotaConfig(table, settings);
  if (canonical.size() > kMaxQuotaConfigBytes) {
    faults.Add({}, fmt::format("the book's canonical form, with daily hours counted by the day, has {} "
                               "bytes; at most {} expected",
                               canonical.size(), kMaxQuotaConfigBytes));
    check();
  }
  table.fingerprint = book::FingerprintOf(table, settings, canonical);
  return table;
}

}  // namespace peatbend::rations
