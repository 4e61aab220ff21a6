// From text to statements: what PEGTL does when a rule of the grammar has matched, or had to and did not.
#include <fmt/format.h>

#include <cctype>

#include "base/text.h"
#include "rations/quota_config_ast.h"
#include "rations/quota_config_grammar.h"

namespace peatbend::rations::book {
namespace {

namespace p = tao::pegtl;

class Reading {
 public:
  Reading(Faults& faults, int reads) : faults_(faults), reads_(reads) {}

  void Begin(Says says, Place at) {
    now_ = {};
    now_.says = says;
    now_.at = at;
  }
  void End() { book.rations.back().statements.push_back(std::move(now_)); }
  void Count(Item item, Place at) {
    now_.counted.emplace_back();
    now_.counted.back().item = item;
    now_.counted.back().at = at;
  }
  void Ration(Word name) { book.rations.emplace_back().name = std::move(name); }
  void Name(Word name) { now_.counted.back().names.push_back(std::move(name)); }
  void Number(Amount amount) { number_ = amount; }
  void Rate(double seconds) { now_.rate = {number_.at, number_.value / seconds}; }
  void Burst() { now_.burst = number_; }
  void Characters() { now_.counted.back().characters = number_; }
  Statement& now() { return now_; }
  int reads() const { return reads_; }
  Faults& faults() { return faults_; }

  BookText book;

 private:
  Faults& faults_;
  const int reads_;
  Statement now_;
  Amount number_;
};

struct Stop {};  // nothing more is to be read

template <typename Input>
Place At(const Input& in) {
  auto at = in.position();
  return {static_cast<int>(at.line), static_cast<int>(at.column)};
}

// What stands there, short enough for a message.
std::string Found(const char* begin, const char* end) {
  if (begin == end) return "the end of the book";
  std::string text;
  for (; begin != end && text.size() < 30; ++begin) {
    auto c = static_cast<unsigned char>(*begin);
    if (std::isspace(c) ||
        (!text.empty() && std::string_view(",;:{}#").find(*begin) != std::string_view::npos))
      break;
    text += c < 0x20 || c >= 0x7f ? fmt::format("\\x{:02x}", c) : std::string(1, *begin);
    if (text.size() == 1 && std::string_view(",;:{}").find(text[0]) != std::string_view::npos) break;
  }
  return "'" + text + "'";
}

template <typename Rule>
struct Control : p::normal<Rule> {
  template <typename Input>
  [[noreturn]] static void raise(const Input& in, Reading& reading) {
    std::string_view expected = "something else";
    if constexpr (requires { Rule::expected; }) expected = Rule::expected;
    // The end of the text, met after another fault, is no news.
    if (!in.empty() || reading.faults().list.empty()) {
      reading.faults().Add(At(in),
                           fmt::format("{} expected, found {}", expected, Found(in.current(), in.end())));
    }
    if (reading.faults().full()) throw Stop();
    throw p::parse_error("", in);
  }
};

int ToInt(std::string_view text) {
  int value = 0;
  return ParseNumber(text, value) ? value : -1;
}

std::string Unquote(std::string_view text) {
  std::string out;
  for (std::size_t i = 1; i + 1 < text.size(); ++i) {
    if (text[i] != '\\') {
      out += text[i];
    } else if (text[++i] == 'x') {
      int code = 0;
      ParseNumber(text.substr(i + 1, 2), code, 16);
      out += static_cast<char>(code);
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

namespace g = grammar;

template <typename Rule>
struct Action : p::nothing<Rule> {};

template <Says kSays>
struct Begins {
  template <typename Input>
  static void apply(const Input& in, Reading& reading) {
    reading.Begin(kSays, At(in));
  }
};
template <>
struct Action<g::counts_word> : Begins<Says::kCounts> {};
template <>
struct Action<g::rate_word> : Begins<Says::kRate> {};
template <>
struct Action<g::burst_word> : Begins<Says::kBurst> {};
template <>
struct Action<g::hard_word> : Begins<Says::kHard> {};
template <>
struct Action<g::soft_word> : Begins<Says::kSoft> {};
template <>
struct Action<g::borrows_word> : Begins<Says::kBorrows> {};
template <>
struct Action<g::over_word> : Begins<Says::kOver> {};
template <>
struct Action<g::from_word> : Begins<Says::kPeriod> {};
template <>
struct Action<g::until_word> : Begins<Says::kUntil> {};
template <>
struct Action<g::daily_word> : Begins<Says::kDaily> {};
template <>
struct Action<g::while_word> : Begins<Says::kWhile> {};

struct Ends {
  static void apply0(Reading& reading) { reading.End(); }
};
template <>
struct Action<g::end> : Ends {};
template <>
struct Action<g::list_end> : Ends {};

template <Item kItem>
struct Counts {
  template <typename Input>
  static void apply(const Input& in, Reading& reading) {
    reading.Count(kItem, At(in));
  }
};
template <>
struct Action<g::everything_word> : Counts<Item::kEverything> {};
template <>
struct Action<g::reads_word> : Counts<Item::kReads> {};
template <>
struct Action<g::writes_word> : Counts<Item::kWrites> {};
template <>
struct Action<g::firsts_word> : Counts<Item::kFirsts> {};
template <>
struct Action<g::repeats_word> : Counts<Item::kRepeats> {};
template <>
struct Action<g::class_word> : Counts<Item::kClasses> {};
template <>
struct Action<g::franchisee_word> : Counts<Item::kTenants> {};
template <>
struct Action<g::each_franchisee> : Counts<Item::kEachTenant> {};
template <>
struct Action<g::each_class> : Counts<Item::kEachClass> {};
template <>
struct Action<g::each_shop> : Counts<Item::kEachClient> {};
template <>
struct Action<g::each_key> : Counts<Item::kEachKeyGroup> {};

template <auto kChange>
struct Does {
  static void apply0(Reading& reading) { kChange(reading); }
};
template <>
struct Action<g::alone_reject> : Does<[](Reading& r) { r.now().alone = WhenUnreachable::kReject; }> {};
template <>
struct Action<g::alone_own> : Does<[](Reading& r) { r.now().alone = WhenUnreachable::kOwnShare; }> {};
template <>
struct Action<g::alone_open> : Does<[](Reading& r) { r.now().alone = WhenUnreachable::kAdmit; }> {};
template <>
struct Action<g::over_reject> : Does<[](Reading& r) { r.now().over = OverLimitAction::kReject; }> {};
template <>
struct Action<g::over_rank> : Does<[](Reading& r) { r.now().over = OverLimitAction::kLowerPriority; }> {};
template <>
struct Action<g::over_count> : Does<[](Reading& r) { r.now().over = OverLimitAction::kCountOnly; }> {};
template <>
struct Action<g::sign_origin> : Does<[](Reading& r) { r.now().signs |= kOriginOverloaded; }> {};
template <>
struct Action<g::sign_zone> : Does<[](Reading& r) { r.now().signs |= kZoneLost; }> {};
template <>
struct Action<g::second_word> : Does<[](Reading& r) { r.Rate(1); }> {};
template <>
struct Action<g::minute_word> : Does<[](Reading& r) { r.Rate(60); }> {};
template <>
struct Action<g::hour_word> : Does<[](Reading& r) { r.Rate(3600); }> {};
template <>
struct Action<g::burst_number> : Does<[](Reading& r) { r.Burst(); }> {};
template <>
struct Action<g::characters_number> : Does<[](Reading& r) { r.Characters(); }> {};

template <auto kTake>
struct Takes {
  template <typename Input>
  static void apply(const Input& in, Reading& reading) {
    kTake(reading, At(in), in.string_view());
  }
};
using View = std::string_view;
template <>
struct Action<g::plain_text> : Takes<[](Reading& r, Place at, View t) {
  r.Name({at, std::string(t)});
}> {};
template <>
struct Action<g::quoted_text> : Takes<[](Reading& r, Place at, View t) {
  r.Name({at, Unquote(t)});
}> {};
template <>
struct Action<g::ration_text> : Takes<[](Reading& r, Place at, View t) {
  if (r.book.rations.size() == kMaxQuotas) {
    r.faults().Add(at, fmt::format("more than {} rations", kMaxQuotas));
    throw Stop();
  }
  r.Ration({at, std::string(t)});
}> {};
template <>
struct Action<g::inside_text> : Takes<[](Reading& r, Place at, View t) {
  r.book.rations.back().inside = Word{at, std::string(t)};
}> {};
template <>
struct Action<g::zone_text> : Takes<[](Reading& r, Place at, View t) {
  r.book.zone = Word{at, std::string(t)};
}> {};
template <>
struct Action<g::version_text> : Takes<[](Reading& r, Place at, View t) {
  r.book.reads = ToInt(t);
  if (r.book.reads >= 1 && r.book.reads <= r.reads()) return;
  r.faults().Add(at, fmt::format("the book needs version {} of the language; this program reads version{} {}",
                                 t.substr(0, 20), r.reads() > 1 ? "s 1 to" : "", r.reads()));
  throw Stop();
}> {};
template <>
struct Action<g::retire_word> : Takes<[](Reading& r, Place at, View) {
  if (r.book.reads < 2) {
    r.faults().Add(
        at, fmt::format("'retire' is of version 2 of the language, and the book reads {}", r.book.reads));
    throw Stop();
  }
  if (r.book.retired.size() == kMaxRetiredReaders) {
    r.faults().Add(at, fmt::format("more than {} readers retired", kMaxRetiredReaders));
    throw Stop();
  }
  r.book.retired.emplace_back();
}> {};
template <>
struct Action<g::reader_plain> : Takes<[](Reading& r, Place at, View t) {
  r.book.retired.back().reader = {at, std::string(t)};
}> {};
template <>
struct Action<g::reader_quoted> : Takes<[](Reading& r, Place at, View t) {
  r.book.retired.back().reader = {at, Unquote(t)};
}> {};
template <>
struct Action<g::statement_text> : Takes<[](Reading& r, Place at, View t) {
  if (!ParseNumber(t, r.book.retired.back().statement)) r.faults().Add(at, "the number is too large");
}> {};
template <>
struct Action<g::why_text> : Takes<[](Reading& r, Place at, View t) {
  r.book.retired.back().why = {at, Unquote(t)};
}> {};
template <>
struct Action<g::number_text> : Takes<[](Reading& r, Place at, View t) {
  Amount amount{at, 0};
  if (!ParseNumber(t, amount.value)) r.faults().Add(at, "the number is too large");
  r.Number(amount);
}> {};
template <>
struct Action<g::day_text> : Takes<[](Reading& r, Place at, View t) {
  r.now().days.push_back({at, ToInt(t.substr(0, 4)), ToInt(t.substr(5, 2)), ToInt(t.substr(8, 2))});
}> {};
template <>
struct Action<g::clock_text> : Takes<[](Reading& r, Place at, View t) {
  int second = t.size() == 8 ? ToInt(t.substr(6, 2)) : 0;
  r.now().hours.push_back({at, ToInt(t.substr(0, 2)), ToInt(t.substr(3, 2)), second});
}> {};

}  // namespace

BookText ParseBook(std::string_view text, Faults& faults, int reads) {
  Reading reading(faults, reads);
  p::memory_input<> in(text.data(), text.data() + text.size(), "");
  try {
    p::parse<g::book, Action, Control>(in, reading);
  } catch (const p::parse_error&) {
    // Its fault has been noted where it arose.
  } catch (const Stop&) {
    // So has this one.
  }
  return std::move(reading.book);
}

}  // namespace peatbend::rations::book
