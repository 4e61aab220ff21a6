// The parser from text to the syntax tree: the PEGTL actions, and the error messages of the grammar's rules.
#include <fmt/format.h>

#include <cctype>

#include "base/text.h"
#include "rations/quota_config_ast.h"
#include "rations/quota_config_grammar.h"

namespace peatbend::rations::book {
namespace {

namespace p = tao::pegtl;

class ParserState {
 public:
  ParserState(ErrorList& errors, int max_language_version)
      : errors_(errors), max_language_version_(max_language_version) {}

  void BeginStatement(StatementKind kind, SourceLocation location) {
    statement_ = {};
    statement_.kind = kind;
    statement_.location = location;
  }
  void EndStatement() { ast.quotas.back().statements.push_back(std::move(statement_)); }
  void AddSelector(SelectorKind kind, SourceLocation location) {
    statement_.selectors.emplace_back();
    statement_.selectors.back().kind = kind;
    statement_.selectors.back().location = location;
  }
  void BeginQuota(LocatedText name) { ast.quotas.emplace_back().name = std::move(name); }
  void AddName(LocatedText name) { statement_.selectors.back().names.push_back(std::move(name)); }
  void SetNumber(LocatedNumber number) { number_ = number; }
  void SetRate(double seconds) { statement_.rate = {number_.location, number_.value / seconds}; }
  void SetBurst() { statement_.burst = number_; }
  void SetPrefixLength() { statement_.selectors.back().prefix_length = number_; }
  Statement& statement() { return statement_; }
  int max_language_version() const { return max_language_version_; }
  ErrorList& errors() { return errors_; }

  QuotaConfigAst ast;

 private:
  ErrorList& errors_;
  const int max_language_version_;
  Statement statement_;
  LocatedNumber number_;
};

struct StopParsing {};  // thrown after an error that makes the rest meaningless

template <typename Input>
SourceLocation LocationOf(const Input& in) {
  auto position = in.position();
  return {static_cast<int>(position.line), static_cast<int>(position.column)};
}

// Quotes the start of the unexpected input, at most 30 bytes, for an error message.
std::string FormatFound(const char* begin, const char* end) {
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
  [[noreturn]] static void raise(const Input& in, ParserState& state) {
    std::string_view expected = "something else";
    if constexpr (requires { Rule::expected; }) expected = Rule::expected;
    // After an error, the end of the text is reached as a consequence and is not reported again.
    if (!in.empty() || state.errors().entries.empty()) {
      state.errors().Add(LocationOf(in),
                         fmt::format("{} expected, found {}", expected, FormatFound(in.current(), in.end())));
    }
    if (state.errors().full()) throw StopParsing();
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

template <StatementKind kKind>
struct BeginsStatement {
  template <typename Input>
  static void apply(const Input& in, ParserState& state) {
    state.BeginStatement(kKind, LocationOf(in));
  }
};
template <>
struct Action<g::counts_word> : BeginsStatement<StatementKind::kCounts> {};
template <>
struct Action<g::rate_word> : BeginsStatement<StatementKind::kRate> {};
template <>
struct Action<g::burst_word> : BeginsStatement<StatementKind::kBurst> {};
template <>
struct Action<g::hard_word> : BeginsStatement<StatementKind::kHard> {};
template <>
struct Action<g::soft_word> : BeginsStatement<StatementKind::kSoft> {};
template <>
struct Action<g::borrows_word> : BeginsStatement<StatementKind::kBorrows> {};
template <>
struct Action<g::over_word> : BeginsStatement<StatementKind::kOverLimit> {};
template <>
struct Action<g::from_word> : BeginsStatement<StatementKind::kPeriod> {};
template <>
struct Action<g::until_word> : BeginsStatement<StatementKind::kUntil> {};
template <>
struct Action<g::daily_word> : BeginsStatement<StatementKind::kDaily> {};
template <>
struct Action<g::while_word> : BeginsStatement<StatementKind::kWhile> {};

struct EndsStatement {
  static void apply0(ParserState& state) { state.EndStatement(); }
};
template <>
struct Action<g::end> : EndsStatement {};
template <>
struct Action<g::list_end> : EndsStatement {};

template <SelectorKind kKind>
struct AddsSelector {
  template <typename Input>
  static void apply(const Input& in, ParserState& state) {
    state.AddSelector(kKind, LocationOf(in));
  }
};
template <>
struct Action<g::everything_word> : AddsSelector<SelectorKind::kEverything> {};
template <>
struct Action<g::reads_word> : AddsSelector<SelectorKind::kReads> {};
template <>
struct Action<g::writes_word> : AddsSelector<SelectorKind::kWrites> {};
template <>
struct Action<g::firsts_word> : AddsSelector<SelectorKind::kFirstTries> {};
template <>
struct Action<g::repeats_word> : AddsSelector<SelectorKind::kRetries> {};
template <>
struct Action<g::class_word> : AddsSelector<SelectorKind::kClasses> {};
template <>
struct Action<g::franchisee_word> : AddsSelector<SelectorKind::kTenants> {};
template <>
struct Action<g::each_franchisee> : AddsSelector<SelectorKind::kEachTenant> {};
template <>
struct Action<g::each_class> : AddsSelector<SelectorKind::kEachClass> {};
template <>
struct Action<g::each_shop> : AddsSelector<SelectorKind::kEachClient> {};
template <>
struct Action<g::each_key> : AddsSelector<SelectorKind::kEachKeyPrefix> {};

template <auto kFunction>
struct Calls {
  static void apply0(ParserState& state) { kFunction(state); }
};
template <>
struct Action<g::alone_reject>
    : Calls<[](ParserState& r) { r.statement().when_unreachable = WhenUnreachable::kReject; }> {};
template <>
struct Action<g::alone_own>
    : Calls<[](ParserState& r) { r.statement().when_unreachable = WhenUnreachable::kOwnShare; }> {};
template <>
struct Action<g::alone_open>
    : Calls<[](ParserState& r) { r.statement().when_unreachable = WhenUnreachable::kAdmit; }> {};
template <>
struct Action<g::over_reject>
    : Calls<[](ParserState& r) { r.statement().over_limit = OverLimitAction::kReject; }> {};
template <>
struct Action<g::over_rank>
    : Calls<[](ParserState& r) { r.statement().over_limit = OverLimitAction::kLowerPriority; }> {};
template <>
struct Action<g::over_count>
    : Calls<[](ParserState& r) { r.statement().over_limit = OverLimitAction::kCountOnly; }> {};
template <>
struct Action<g::condition_origin>
    : Calls<[](ParserState& r) { r.statement().conditions |= kOriginOverloaded; }> {};
template <>
struct Action<g::condition_zone> : Calls<[](ParserState& r) { r.statement().conditions |= kZoneLost; }> {};
template <>
struct Action<g::second_word> : Calls<[](ParserState& r) { r.SetRate(1); }> {};
template <>
struct Action<g::minute_word> : Calls<[](ParserState& r) { r.SetRate(60); }> {};
template <>
struct Action<g::hour_word> : Calls<[](ParserState& r) { r.SetRate(3600); }> {};
template <>
struct Action<g::burst_number> : Calls<[](ParserState& r) { r.SetBurst(); }> {};
template <>
struct Action<g::characters_number> : Calls<[](ParserState& r) { r.SetPrefixLength(); }> {};

template <auto kFunction>
struct CallsWithText {
  template <typename Input>
  static void apply(const Input& in, ParserState& state) {
    kFunction(state, LocationOf(in), in.string_view());
  }
};
template <>
struct Action<g::plain_text>
    : CallsWithText<[](ParserState& r, SourceLocation location, std::string_view text) {
      r.AddName({location, std::string(text)});
    }> {};
template <>
struct Action<g::quoted_text>
    : CallsWithText<[](ParserState& r, SourceLocation location, std::string_view text) {
      r.AddName({location, Unquote(text)});
    }> {};
template <>
struct Action<g::ration_text>
    : CallsWithText<[](ParserState& r, SourceLocation location, std::string_view text) {
      if (r.ast.quotas.size() == kMaxQuotas) {
        r.errors().Add(location, fmt::format("more than {} rations", kMaxQuotas));
        throw StopParsing();
      }
      r.BeginQuota({location, std::string(text)});
    }> {};
template <>
struct Action<g::inside_text>
    : CallsWithText<[](ParserState& r, SourceLocation location, std::string_view text) {
      r.ast.quotas.back().parent = LocatedText{location, std::string(text)};
    }> {};
template <>
struct Action<g::zone_text>
    : CallsWithText<[](ParserState& r, SourceLocation location, std::string_view text) {
      r.ast.time_zone = LocatedText{location, std::string(text)};
    }> {};
template <>
struct Action<g::version_text>
    : CallsWithText<[](ParserState& r, SourceLocation location, std::string_view text) {
      r.ast.language_version = ToInt(text);
      if (r.ast.language_version >= 1 && r.ast.language_version <= r.max_language_version()) return;
      r.errors().Add(location,
                     fmt::format("the book needs version {} of the language; this program reads version{} {}",
                                 text.substr(0, 20), r.max_language_version() > 1 ? "s 1 to" : "",
                                 r.max_language_version()));
      throw StopParsing();
    }> {};
template <>
struct Action<g::retire_word> : CallsWithText<[](ParserState& r, SourceLocation location, std::string_view) {
  if (r.ast.language_version < 2) {
    r.errors().Add(location, fmt::format("'retire' needs version 2 of the language, and the book reads {}",
                                         r.ast.language_version));
    throw StopParsing();
  }
  if (r.ast.retired_readers.size() == kMaxRetiredReaders) {
    r.errors().Add(location, fmt::format("more than {} readers retired", kMaxRetiredReaders));
    throw StopParsing();
  }
  r.ast.retired_readers.emplace_back();
}> {};
template <>
struct Action<g::reader_plain>
    : CallsWithText<[](ParserState& r, SourceLocation location, std::string_view text) {
      r.ast.retired_readers.back().reader = {location, std::string(text)};
    }> {};
template <>
struct Action<g::reader_quoted>
    : CallsWithText<[](ParserState& r, SourceLocation location, std::string_view text) {
      r.ast.retired_readers.back().reader = {location, Unquote(text)};
    }> {};
template <>
struct Action<g::statement_text>
    : CallsWithText<[](ParserState& r, SourceLocation location, std::string_view text) {
      if (!ParseNumber(text, r.ast.retired_readers.back().statement))
        r.errors().Add(location, "the number is too large");
    }> {};
template <>
struct Action<g::reason_text>
    : CallsWithText<[](ParserState& r, SourceLocation location, std::string_view text) {
      r.ast.retired_readers.back().reason = {location, Unquote(text)};
    }> {};
template <>
struct Action<g::number_text>
    : CallsWithText<[](ParserState& r, SourceLocation location, std::string_view text) {
      LocatedNumber number{location, 0};
      if (!ParseNumber(text, number.value)) r.errors().Add(location, "the number is too large");
      r.SetNumber(number);
    }> {};
template <>
struct Action<g::date_text>
    : CallsWithText<[](ParserState& r, SourceLocation location, std::string_view text) {
      r.statement().dates.push_back(
          {location, ToInt(text.substr(0, 4)), ToInt(text.substr(5, 2)), ToInt(text.substr(8, 2))});
    }> {};
template <>
struct Action<g::time_text>
    : CallsWithText<[](ParserState& r, SourceLocation location, std::string_view text) {
      int second = text.size() == 8 ? ToInt(text.substr(6, 2)) : 0;
      r.statement().times.push_back({location, ToInt(text.substr(0, 2)), ToInt(text.substr(3, 2)), second});
    }> {};

}  // namespace

QuotaConfigAst ParseAst(std::string_view text, ErrorList& errors, int max_language_version) {
  ParserState state(errors, max_language_version);
  p::memory_input<> in(text.data(), text.data() + text.size(), "");
  try {
    p::parse<g::quota_config, Action, Control>(in, state);
  } catch (const p::parse_error&) {
    // Control::raise has added the error.
  } catch (const StopParsing&) {
    // The error was added before.
  }
  return std::move(state.ast);
}

}  // namespace peatbend::rations::book
