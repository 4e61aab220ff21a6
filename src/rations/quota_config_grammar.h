// The grammar of the quota configuration language, for PEGTL. No rule is recursive, so the parser's stack
// depth is bounded by the grammar. `expected`: what the error message names if a required rule does not
// match.
#pragma once

#include <tao/pegtl.hpp>

namespace peatbend::rations::book::grammar {

namespace p = tao::pegtl;

struct comment : p::seq<p::one<'#'>, p::until<p::eolf>> {};
struct whitespace : p::star<p::sor<p::space, comment>> {};
struct name_char : p::sor<p::alnum, p::one<'_', '-', '.'>> {};

// Consumes nothing unless the rule matches completely, so that errors are located at its first character.
template <typename Rule>
struct atomic : p::seq<p::at<Rule>, Rule> {};
template <typename Text>
struct keyword : p::seq<atomic<p::seq<Text, p::not_at<name_char>>>, whitespace> {};

#define PEATBEND_WORD(rule, text)                         \
  struct rule : keyword<TAO_PEGTL_STRING(text)> {         \
    static constexpr const char* expected = "'" text "'"; \
  }
PEATBEND_WORD(book_word, "book");
PEATBEND_WORD(language_version_word, "reads");
PEATBEND_WORD(time_word, "time");
PEATBEND_WORD(time_zone_word, "zone");
PEATBEND_WORD(ration_word, "ration");
PEATBEND_WORD(inside_word, "inside");
PEATBEND_WORD(retire_word, "retire");
PEATBEND_WORD(reader_word, "reader");
PEATBEND_WORD(statement_word, "statement");
PEATBEND_WORD(because_word, "because");
PEATBEND_WORD(counts_word, "counts");
PEATBEND_WORD(everything_word, "everything");
PEATBEND_WORD(reads_word, "reads");
PEATBEND_WORD(writes_word, "writes");
PEATBEND_WORD(firsts_word, "firsts");
PEATBEND_WORD(repeats_word, "repeats");
PEATBEND_WORD(class_word, "class");
PEATBEND_WORD(franchisee_word, "franchisee");
PEATBEND_WORD(or_word, "or");
PEATBEND_WORD(of_word, "of");
PEATBEND_WORD(each_word, "each");
PEATBEND_WORD(each_franchisee, "franchisee");
PEATBEND_WORD(each_class, "class");
PEATBEND_WORD(each_shop, "shop");
PEATBEND_WORD(each_key, "key");
PEATBEND_WORD(group_word, "group");
PEATBEND_WORD(characters_word, "characters");
PEATBEND_WORD(rate_word, "rate");
PEATBEND_WORD(override_rate_word, "rate");
PEATBEND_WORD(burst_word, "burst");
PEATBEND_WORD(override_burst_word, "burst");
PEATBEND_WORD(a_word, "a");
PEATBEND_WORD(an_word, "an");
PEATBEND_WORD(second_word, "second");
PEATBEND_WORD(minute_word, "minute");
PEATBEND_WORD(hour_word, "hour");
PEATBEND_WORD(hard_word, "hard");
PEATBEND_WORD(soft_word, "soft");
PEATBEND_WORD(alone_word, "alone");
PEATBEND_WORD(alone_reject, "reject");
PEATBEND_WORD(alone_own, "own");
PEATBEND_WORD(share_word, "share");
PEATBEND_WORD(alone_open, "open");
PEATBEND_WORD(borrows_word, "borrows");
PEATBEND_WORD(over_word, "over");
PEATBEND_WORD(over_reject, "reject");
PEATBEND_WORD(over_rank, "rank");
PEATBEND_WORD(lower_word, "lower");
PEATBEND_WORD(over_count, "count");
PEATBEND_WORD(only_word, "only");
PEATBEND_WORD(from_word, "from");
PEATBEND_WORD(daily_from_word, "from");
PEATBEND_WORD(to_word, "to");
PEATBEND_WORD(until_word, "until");
PEATBEND_WORD(daily_word, "daily");
PEATBEND_WORD(between_word, "between");
PEATBEND_WORD(and_word, "and");
PEATBEND_WORD(while_word, "while");
PEATBEND_WORD(override_while_word, "while");
PEATBEND_WORD(condition_origin, "origin");
PEATBEND_WORD(strained_word, "strained");
PEATBEND_WORD(condition_zone, "zone");
PEATBEND_WORD(lost_word, "lost");
#undef PEATBEND_WORD

template <char C>
struct punctuation : p::seq<p::one<C>, whitespace> {};
struct comma : punctuation<','> {};
struct soft_comma : punctuation<','> {
  static constexpr const char* expected = "', alone' and what to do";
};
struct burst_comma : punctuation<','> {
  static constexpr const char* expected = "', burst'";
};
struct colon : punctuation<':'> {};
struct end : punctuation<';'> {
  static constexpr const char* expected = "';'";
};
struct list_end : punctuation<';'> {
  static constexpr const char* expected = "',' or ';'";
};
struct open : punctuation<'{'> {
  static constexpr const char* expected = "'{' or 'inside'";
};
struct close : punctuation<'}'> {};

// Names and numbers. The actions are attached to the *_text rules, which exclude trailing whitespace.
struct plain_text : p::plus<name_char> {};
struct hex_escape : p::seq<p::one<'x'>, p::rep<2, p::xdigit>> {};
struct escape : p::seq<p::one<'\\'>, p::sor<p::one<'"', '\\'>, hex_escape>> {};
struct quoted_content : p::star<p::sor<escape, p::seq<p::not_at<p::range<0, 31>>, p::not_one<'"', '\\'>>>> {};
struct quoted_text : p::seq<p::one<'"'>, quoted_content, p::one<'"'>> {};
struct name : p::seq<p::sor<plain_text, atomic<quoted_text>>, whitespace> {};
struct class_name : name {
  static constexpr const char* expected = "the name of a class";
};
struct franchisee_name : name {
  static constexpr const char* expected = "the name of a franchisee";
};
struct ration_text : p::rep_min_max<1, 64, name_char> {};
struct ration_name : p::seq<ration_text, whitespace> {
  static constexpr const char* expected = "a name for the ration, of at most 64 characters,";
};
struct inside_text : p::plus<name_char> {};
struct inside_name : p::seq<inside_text, whitespace> {
  static constexpr const char* expected = "the name of a ration defined above";
};
struct zone_text : p::plus<p::sor<name_char, p::one<'/', '+'>>> {};
struct zone_name : p::seq<zone_text, whitespace> {
  static constexpr const char* expected = "a time zone such as Europe/Athens";
};
struct version_text : p::plus<p::digit> {};
struct version : p::seq<atomic<p::seq<version_text, p::not_at<name_char>>>, whitespace> {
  static constexpr const char* expected = "a version of the language, such as 1";
};
struct number_text
    : p::seq<p::opt<p::one<'-'>>, p::plus<p::digit>, p::opt<p::seq<p::one<'.'>, p::plus<p::digit>>>> {};
struct number : p::seq<atomic<p::seq<number_text, p::not_at<name_char>>>, whitespace> {};
struct rate_number : number {
  static constexpr const char* expected = "a number of requests, such as 200 or 0.5";
};
struct burst_number : number {
  static constexpr const char* expected = "a number of requests, such as 400";
};
struct characters_number : number {
  static constexpr const char* expected = "a number of characters";
};
template <unsigned N>
struct digits : p::rep<N, p::digit> {};
struct date_text : p::seq<digits<4>, p::one<'-'>, digits<2>, p::one<'-'>, digits<2>> {};
struct date : p::seq<atomic<p::seq<date_text, p::not_at<name_char>>>, whitespace> {
  static constexpr const char* expected = "a date such as 2027-04-26";
};
struct time_text : p::seq<digits<2>, p::one<':'>, digits<2>, p::opt<p::seq<p::one<':'>, digits<2>>>> {};
struct time_of_day : p::seq<atomic<p::seq<time_text, p::not_at<name_char>>>, whitespace> {
  static constexpr const char* expected = "a time of day such as 06:00";
};

// Which requests a quota counts.
template <typename Name>
struct names : p::seq<p::must<Name>, p::star<p::if_must<or_word, Name>>> {};
struct each_attribute
    : p::sor<each_franchisee, each_class, each_shop,
             p::if_must<each_key, group_word, of_word, characters_number, characters_word>> {
  static constexpr const char* expected = "'franchisee', 'class', 'shop' or 'key group of N characters'";
};
struct selector
    : p::sor<everything_word, reads_word, writes_word, firsts_word, repeats_word,
             p::seq<class_word, names<class_name>>, p::seq<franchisee_word, names<franchisee_name>>,
             p::if_must<of_word, each_word, each_attribute>, p::if_must<each_word, each_attribute>> {
  static constexpr const char* expected =
      "'everything', 'reads', 'writes', 'firsts', 'repeats', 'class NAME', 'franchisee NAME' or 'each' and "
      "an attribute";
};
struct counts : p::if_must<counts_word, selector, p::star<p::if_must<comma, selector>>, list_end> {};

// Rates, and what happens beyond them.
struct short_unit : p::sor<second_word, minute_word> {
  static constexpr const char* expected = "'second' or 'minute'";
};
struct unit : p::sor<p::if_must<a_word, short_unit>, p::if_must<an_word, hour_word>> {
  static constexpr const char* expected = "'a second', 'a minute' or 'an hour'";
};
struct rate : p::if_must<rate_word, rate_number, unit, end> {};
struct burst : p::if_must<burst_word, burst_number, end> {};
struct hard : p::if_must<hard_word, end> {};
struct when_unreachable : p::sor<alone_reject, p::if_must<alone_own, share_word>, alone_open> {
  static constexpr const char* expected = "'reject', 'own share' or 'open'";
};
struct soft : p::if_must<soft_word, soft_comma, alone_word, when_unreachable, end> {};
struct borrows : p::if_must<borrows_word, end> {};
struct over_limit
    : p::sor<over_reject, p::if_must<over_rank, lower_word>, p::if_must<over_count, only_word>> {
  static constexpr const char* expected = "'reject', 'rank lower' or 'count only'";
};
struct over : p::if_must<over_word, p::opt<colon>, over_limit, end> {};

// Rate overrides.
struct fleet_condition
    : p::sor<p::if_must<condition_origin, strained_word>, p::if_must<condition_zone, lost_word>> {
  static constexpr const char* expected = "'origin strained' or 'zone lost'";
};
struct fleet_conditions : p::seq<p::must<fleet_condition>, p::star<p::if_must<and_word, fleet_condition>>> {};
struct override_rate : p::seq<p::opt<colon>, p::must<override_rate_word, rate_number, unit, burst_comma,
                                                     override_burst_word, burst_number, end>> {};
struct override_tail : p::seq<p::opt<p::seq<override_while_word, fleet_conditions>>, override_rate> {};
struct period_override : p::seq<p::if_must<from_word, date, time_of_day>,
                                p::opt<p::if_must<to_word, date, time_of_day>>, override_tail> {};
struct until_override : p::seq<p::if_must<until_word, date, time_of_day>, override_tail> {};
struct daily_override : p::seq<p::if_must<daily_word, daily_from_word, time_of_day, to_word, time_of_day,
                                          between_word, date, and_word, date>,
                               override_tail> {};
struct while_override : p::seq<while_word, fleet_conditions, override_rate> {};

struct statement : p::sor<counts, rate, burst, hard, soft, borrows, over, period_override, until_override,
                          daily_override, while_override> {
  static constexpr const char* expected =
      "'counts', 'rate', 'burst', 'hard', 'soft', 'borrows', 'over', 'from', 'until', 'daily', 'while' or "
      "'}'";
};
// After an error, parsing resumes at the next statement so that its errors are reported too.
struct skipped_quote : p::seq<p::one<'"'>, quoted_content, p::opt<p::one<'"'>>> {};
struct skipped_statement
    : p::sor<punctuation<';'>, p::seq<p::plus<p::sor<skipped_quote, comment, p::not_one<';', '}'>>>,
                                      p::sor<punctuation<';'>, p::at<p::one<'}'>>>>> {};
struct recovering_statement : p::sor<p::try_catch<p::must<statement>>, skipped_statement> {};
struct body : p::until<close, recovering_statement> {
  static constexpr const char* expected = "a statement or '}'";
};
struct ration
    : p::if_must<ration_word, ration_name, p::opt<p::if_must<inside_word, inside_name>>, open, body> {
  static constexpr const char* expected = "'ration'";
};
// An operator's declaration that a reader is gone, with the number of its last known statement.
struct reader_plain : p::plus<name_char> {};
struct reader_quoted : quoted_text {};
struct reader_name : p::seq<p::sor<reader_plain, atomic<reader_quoted>>, whitespace> {
  static constexpr const char* expected = "the name of a reader";
};
struct statement_text : p::plus<p::digit> {};
struct statement_number : p::seq<atomic<p::seq<statement_text, p::not_at<name_char>>>, whitespace> {
  static constexpr const char* expected = "the number of the reader's statement";
};
struct reason_text : quoted_text {};
struct reason : p::seq<atomic<reason_text>, whitespace> {
  static constexpr const char* expected = "the reason, in quotes";
};
struct retire_end : punctuation<';'> {
  static constexpr const char* expected = "';'";
};
struct retire : p::if_must<retire_word, reader_word, reader_name, statement_word, statement_number,
                           because_word, reason, retire_end> {};

struct definition : p::sor<retire, ration> {
  static constexpr const char* expected = "'ration' or 'retire'";
};
struct time_zone : p::if_must<time_word, time_zone_word, zone_name> {};
struct quota_config : p::seq<whitespace, p::must<book_word, language_version_word, version>,
                             p::opt<time_zone>, p::until<p::eof, p::must<definition>>> {};

}  // namespace peatbend::rations::book::grammar
