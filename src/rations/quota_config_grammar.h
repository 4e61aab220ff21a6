// The grammar of a book of rations, for PEGTL. No rule leads back to itself, so the depth of the parse is
// that of the grammar. `expected`: what is told where the rule had to match and did not.
#pragma once

#include <tao/pegtl.hpp>

namespace peatbend::rations::book::grammar {

namespace p = tao::pegtl;

struct comment : p::seq<p::one<'#'>, p::until<p::eolf>> {};
struct gap : p::star<p::sor<p::space, comment>> {};
struct name_char : p::sor<p::alnum, p::one<'_', '-', '.'>> {};

// Matches from its first character to its last, or stays where it is: so a fault is told at the beginning.
template <typename Rule>
struct whole : p::seq<p::at<Rule>, Rule> {};
template <typename Text>
struct word : p::seq<whole<p::seq<Text, p::not_at<name_char>>>, gap> {};

#define PEATBEND_WORD(rule, text)                         \
  struct rule : word<TAO_PEGTL_STRING(text)> {            \
    static constexpr const char* expected = "'" text "'"; \
  }
PEATBEND_WORD(book_word, "book");
PEATBEND_WORD(book_reads_word, "reads");
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
PEATBEND_WORD(change_rate_word, "rate");
PEATBEND_WORD(burst_word, "burst");
PEATBEND_WORD(change_burst_word, "burst");
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
PEATBEND_WORD(change_while_word, "while");
PEATBEND_WORD(sign_origin, "origin");
PEATBEND_WORD(strained_word, "strained");
PEATBEND_WORD(sign_zone, "zone");
PEATBEND_WORD(lost_word, "lost");
#undef PEATBEND_WORD

template <char C>
struct mark : p::seq<p::one<C>, gap> {};
struct comma : mark<','> {};
struct soft_comma : mark<','> {
  static constexpr const char* expected = "', alone' and what to do";
};
struct burst_comma : mark<','> {
  static constexpr const char* expected = "', burst'";
};
struct colon : mark<':'> {};
struct end : mark<';'> {
  static constexpr const char* expected = "';'";
};
struct list_end : mark<';'> {
  static constexpr const char* expected = "',' or ';'";
};
struct open : mark<'{'> {
  static constexpr const char* expected = "'{' or 'inside'";
};
struct close : mark<'}'> {};

// Names and numbers. The actions are on the *_text rules.
struct plain_text : p::plus<name_char> {};
struct hex_escape : p::seq<p::one<'x'>, p::rep<2, p::xdigit>> {};
struct escape : p::seq<p::one<'\\'>, p::sor<p::one<'"', '\\'>, hex_escape>> {};
struct quoted_content : p::star<p::sor<escape, p::seq<p::not_at<p::range<0, 31>>, p::not_one<'"', '\\'>>>> {};
struct quoted_text : p::seq<p::one<'"'>, quoted_content, p::one<'"'>> {};
struct name : p::seq<p::sor<plain_text, whole<quoted_text>>, gap> {};
struct class_name : name {
  static constexpr const char* expected = "the name of a class";
};
struct franchisee_name : name {
  static constexpr const char* expected = "the name of a franchisee";
};
struct ration_text : p::rep_min_max<1, 64, name_char> {};
struct ration_name : p::seq<ration_text, gap> {
  static constexpr const char* expected = "a name for the ration, of 64 characters at the most,";
};
struct inside_text : p::plus<name_char> {};
struct inside_name : p::seq<inside_text, gap> {
  static constexpr const char* expected = "the name of a ration stated above";
};
struct zone_text : p::plus<p::sor<name_char, p::one<'/', '+'>>> {};
struct zone_name : p::seq<zone_text, gap> {
  static constexpr const char* expected = "a time zone such as Europe/Athens";
};
struct version_text : p::plus<p::digit> {};
struct version : p::seq<whole<p::seq<version_text, p::not_at<name_char>>>, gap> {
  static constexpr const char* expected = "a version of the language, such as 1";
};
struct number_text
    : p::seq<p::opt<p::one<'-'>>, p::plus<p::digit>, p::opt<p::seq<p::one<'.'>, p::plus<p::digit>>>> {};
struct number : p::seq<whole<p::seq<number_text, p::not_at<name_char>>>, gap> {};
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
struct day_text : p::seq<digits<4>, p::one<'-'>, digits<2>, p::one<'-'>, digits<2>> {};
struct day : p::seq<whole<p::seq<day_text, p::not_at<name_char>>>, gap> {
  static constexpr const char* expected = "a date such as 2027-04-26";
};
struct clock_text : p::seq<digits<2>, p::one<':'>, digits<2>, p::opt<p::seq<p::one<':'>, digits<2>>>> {};
struct clock : p::seq<whole<p::seq<clock_text, p::not_at<name_char>>>, gap> {
  static constexpr const char* expected = "a time of day such as 06:00";
};

// Whom a ration counts.
template <typename Name>
struct names : p::seq<p::must<Name>, p::star<p::if_must<or_word, Name>>> {};
struct each_what : p::sor<each_franchisee, each_class, each_shop,
                          p::if_must<each_key, group_word, of_word, characters_number, characters_word>> {
  static constexpr const char* expected = "'franchisee', 'class', 'shop' or 'key group of N characters'";
};
struct item : p::sor<everything_word, reads_word, writes_word, firsts_word, repeats_word,
                     p::seq<class_word, names<class_name>>, p::seq<franchisee_word, names<franchisee_name>>,
                     p::if_must<of_word, each_word, each_what>, p::if_must<each_word, each_what>> {
  static constexpr const char* expected =
      "'everything', 'reads', 'writes', 'firsts', 'repeats', 'class NAME', 'franchisee NAME' or 'each' and "
      "what";
};
struct counts : p::if_must<counts_word, item, p::star<p::if_must<comma, item>>, list_end> {};

// How much.
struct short_unit : p::sor<second_word, minute_word> {
  static constexpr const char* expected = "'second' or 'minute'";
};
struct unit : p::sor<p::if_must<a_word, short_unit>, p::if_must<an_word, hour_word>> {
  static constexpr const char* expected = "'a second', 'a minute' or 'an hour'";
};
struct rate : p::if_must<rate_word, rate_number, unit, end> {};
struct burst : p::if_must<burst_word, burst_number, end> {};
struct hard : p::if_must<hard_word, end> {};
struct alone_what : p::sor<alone_reject, p::if_must<alone_own, share_word>, alone_open> {
  static constexpr const char* expected = "'reject', 'own share' or 'open'";
};
struct soft : p::if_must<soft_word, soft_comma, alone_word, alone_what, end> {};
struct borrows : p::if_must<borrows_word, end> {};
struct over_what : p::sor<over_reject, p::if_must<over_rank, lower_word>, p::if_must<over_count, only_word>> {
  static constexpr const char* expected = "'reject', 'rank lower' or 'count only'";
};
struct over : p::if_must<over_word, p::opt<colon>, over_what, end> {};

// When it is another amount.
struct sign : p::sor<p::if_must<sign_origin, strained_word>, p::if_must<sign_zone, lost_word>> {
  static constexpr const char* expected = "'origin strained' or 'zone lost'";
};
struct signs : p::seq<p::must<sign>, p::star<p::if_must<and_word, sign>>> {};
struct change_pace : p::seq<p::opt<colon>, p::must<change_rate_word, rate_number, unit, burst_comma,
                                                   change_burst_word, burst_number, end>> {};
struct change_end : p::seq<p::opt<p::seq<change_while_word, signs>>, change_pace> {};
struct period
    : p::seq<p::if_must<from_word, day, clock>, p::opt<p::if_must<to_word, day, clock>>, change_end> {};
struct ending : p::seq<p::if_must<until_word, day, clock>, change_end> {};
struct daily
    : p::seq<p::if_must<daily_word, daily_from_word, clock, to_word, clock, between_word, day, and_word, day>,
             change_end> {};
struct condition : p::seq<while_word, signs, change_pace> {};

struct statement : p::sor<counts, rate, burst, hard, soft, borrows, over, period, ending, daily, condition> {
  static constexpr const char* expected =
      "'counts', 'rate', 'burst', 'hard', 'soft', 'borrows', 'over', 'from', 'until', 'daily', 'while' or "
      "'}'";
};
// After a fault the next statement is read, so that its faults are told too.
struct passed_quote : p::seq<p::one<'"'>, quoted_content, p::opt<p::one<'"'>>> {};
struct rest : p::sor<mark<';'>, p::seq<p::plus<p::sor<passed_quote, comment, p::not_one<';', '}'>>>,
                                       p::sor<mark<';'>, p::at<p::one<'}'>>>>> {};
struct guarded : p::sor<p::try_catch<p::must<statement>>, rest> {};
struct body : p::until<close, guarded> {
  static constexpr const char* expected = "a statement or '}'";
};
struct ration
    : p::if_must<ration_word, ration_name, p::opt<p::if_must<inside_word, inside_name>>, open, body> {
  static constexpr const char* expected = "'ration'";
};
// A reader of books that is no more: by the operator's word, about the statement that he saw.
struct reader_plain : p::plus<name_char> {};
struct reader_quoted : quoted_text {};
struct reader_name : p::seq<p::sor<reader_plain, whole<reader_quoted>>, gap> {
  static constexpr const char* expected = "the name of a reader";
};
struct statement_text : p::plus<p::digit> {};
struct statement_number : p::seq<whole<p::seq<statement_text, p::not_at<name_char>>>, gap> {
  static constexpr const char* expected = "the number of the reader's statement";
};
struct why_text : quoted_text {};
struct why : p::seq<whole<why_text>, gap> {
  static constexpr const char* expected = "the reason, in quotes";
};
struct retire_end : mark<';'> {
  static constexpr const char* expected = "';'";
};
struct retire : p::if_must<retire_word, reader_word, reader_name, statement_word, statement_number,
                           because_word, why, retire_end> {};

struct part : p::sor<retire, ration> {
  static constexpr const char* expected = "'ration' or 'retire'";
};
struct time_zone : p::if_must<time_word, time_zone_word, zone_name> {};
struct book : p::seq<gap, p::must<book_word, book_reads_word, version>, p::opt<time_zone>,
                     p::until<p::eof, p::must<part>>> {};

}  // namespace peatbend::rations::book::grammar
