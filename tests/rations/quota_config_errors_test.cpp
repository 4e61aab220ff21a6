// The language of rations: every refusal, with its place and what was expected.
#include <doctest/doctest.h>

#include <string>

#include "rations/quota_config_test_util.h"

using namespace peatbend::rations::test;

TEST_CASE("refused, with the place and what was expected") {
  struct Case {
    std::string text, fault;
  };
  std::string chain = kHead + "ration chain { counts everything; " + Amounts(100, 200) + " }\n";
  std::string two = " counts writes; " + Amounts(1, 1) + " }\n";
  const Case cases[] = {
      // The grammar.
      {"", "1:1: 'book' expected, found the end of the book"},
      {"book 1", "1:6: 'reads' expected, found '1'"},
      {"book reads x", "1:12: a version of the language, such as 1 expected, found 'x'"},
      {"book reads 1\nrations x {", "2:1: 'ration' or 'retire' expected, found 'rations'"},
      {"book reads 1\ntime zone ;", "2:11: a time zone such as Europe/Athens expected, found ';'"},
      {"book reads 1\nration {",
       "2:8: a name for the ration, of 64 characters at the most, expected, found '{'"},
      {"book reads 1\nration a inside {", "2:17: the name of a ration stated above expected, found '{'"},
      {"book reads 1\nration a b {", "2:10: '{' or 'inside' expected, found 'b'"},
      {"book reads 1\nration a { hard;\n",
       "3:1: 'counts', 'rate', 'burst', 'hard', 'soft', 'borrows', 'over', 'from', 'until', 'daily', 'while' "
       "or '}' "
       "expected, found the end of the book"},
      {With("counts;"),
       "6:8: 'everything', 'reads', 'writes', 'firsts', 'repeats', 'class NAME', 'franchisee NAME' or "
       "'each' and what expected, found ';'"},
      {With("counts class;"), "6:14: the name of a class expected, found ';'"},
      {With("counts class page order;"), "6:20: ',' or ';' expected, found 'order'"},
      {With("counts franchisee north or ,"), "6:29: the name of a franchisee expected, found ','"},
      {With("counts each member;"),
       "6:14: 'franchisee', 'class', 'shop' or 'key group of N characters' expected, found 'member'"},
      {With("counts each key group of x"), "6:27: a number of characters expected, found 'x'"},
      {With("rate fast;"), "6:7: a number of requests, such as 200 or 0.5 expected, found 'fast'"},
      {With("rate 5;"), "6:8: 'a second', 'a minute' or 'an hour' expected, found ';'"},
      {With("rate 5 a day;"), "6:11: 'second' or 'minute' expected, found 'day'"},
      {With("burst 5"), "7:1: ';' expected, found '}'"},
      {With("soft;"), "6:6: ', alone' and what to do expected, found ';'"},
      {With("soft, alone closed;"), "6:14: 'reject', 'own share' or 'open' expected, found 'closed'"},
      {With("over: wait;"), "6:8: 'reject', 'rank lower' or 'count only' expected, found 'wait'"},
      {With("from 2027-4-26 06:00"), "6:7: a date such as 2027-04-26 expected, found '2027-4-26'"},
      {With("from 2027-04-26 6:00"), "6:18: a time of day such as 06:00 expected, found '6'"},
      {With("while tired: rate"), "6:8: 'origin strained' or 'zone lost' expected, found 'tired'"},
      {With("while zone lost: rate 5 a second;"), "6:34: ', burst' expected, found ';'"},
      {With("firm;"),
       "6:2: 'counts', 'rate', 'burst', 'hard', 'soft', 'borrows', 'over', 'from', 'until', 'daily', "
       "'while' or '}' expected, found 'firm'"},
      {With("\xff;"),
       "6:2: 'counts', 'rate', 'burst', 'hard', 'soft', 'borrows', 'over', 'from', 'until', 'daily', "
       "'while' or '}' expected, found '\\xff'"},
      {With("hard\n counts x; rate q;"),  // each statement's fault, not the first alone
       "7:2: ';' expected, found 'counts'\n7:17: a number of requests, such as 200 or 0.5 expected, found "
       "'q'"},
      // Versions and names.
      {"book reads 3\nwhatever 2 means",
       "1:12: the book needs version 3 of the language; this program reads versions 1 to 2"},
      {"book reads 1 time zone Europe/Athen",
       "1:24: no time zone of the name 'Europe/Athen' is known; 'Europe/Athens' expected?"},
      {kHead + "ration r { counts class campain-send; " + Amounts(1, 1) + "}",
       "3:25: no class of the name 'campain-send' is known; 'campaign-send' expected?"},
      {kHead + "ration r { counts franchisee nowhere-at-all; " + Amounts(1, 1) + "}",
       "3:30: no franchisee of the name 'nowhere-at-all' is known; expected one of 'north', 'south', "
       "'isles'"},
      {chain + "ration b inside chian {" + two,
       "4:17: no ration of the name 'chian' is known; 'chain' expected?"},
      {chain + "ration chain inside chain {" + two,
       "4:8: there is a ration 'chain' already, at line 3; another name expected\n"
       "4:21: 'chain' cannot be inside itself; a ration stated above expected"},
      {kHead + "ration a inside b {" + two + "ration b {" + two,
       "3:17: ration 'b' is stated later, at line 4; a ration stated above expected"},
      {chain + "ration a inside chain {" + two +
           "ration b inside a { counts each shop; rate 1 a second; burst 1; }\n" +
           "ration c inside b { counts firsts; rate 1 a second; burst 1; }\n" +
           "ration d inside c { counts class page; rate 1 a second; burst 1; }",
       "7:17: 'd' would be 5 deep; at most 4 rations inside each other expected"},
      {"book reads 1 ration " + std::string(65, 'x') + " {",
       "1:21: a name for the ration, of 64 characters at the most, expected, found "
       "'xxxxxxxxxxxxxxxxxxxxxxxxxxxxxx'"},
      {kHead + "ration a inside a {" + two,
       "3:17: 'a' cannot be inside itself; a ration stated above expected"},
      {kHead + "ration r { counts class page or order or page; " + Amounts(1, 1) + "}",
       "3:42: class 'page' stands in the list twice; once expected"},
      // What is said twice, or not at all.
      {kHead + "ration r { hard; }",
       "3:8: 'r' does not say 'counts', which is expected of each ration\n"
       "3:8: 'r' does not say 'rate', which is expected of each ration\n"
       "3:8: 'r' does not say 'burst', which is expected of each ration"},
      {With("rate 5 a second;"), "6:2: 'r' says this already at line 5; once expected"},
      {With("hard; soft, alone open;"), "6:8: 'r' says this already at line 6; once expected"},
      // Requests that are not there.
      {kHead + "ration r { counts firsts, repeats; " + Amounts(1, 1) + "}",
       "3:27: no request is both a first and a repeat, so none is counted; one of the two expected, or "
       "neither"},
      {kHead + "ration r { counts reads, writes; " + Amounts(1, 1) + "}",
       "3:26: no request both reads and writes, so none is counted; one of the two expected, or neither"},
      {kHead + "ration r { counts class page, class order; " + Amounts(1, 1) + "}",
       "3:31: what is counted is of one class and of another; names joined by 'or' expected"},
      {kHead + "ration r { counts writes, everything; " + Amounts(1, 1) + "}",
       "3:27: 'everything' leaves nothing out; alone or with 'each' expected"},
      {kHead + "ration r { counts each shop, of each shop; " + Amounts(1, 1) + "}",
       "3:38: this is counted each already; once expected"},
      {kHead + "ration r { counts each key group of 0 characters; " + Amounts(1, 1) + "}",
       "3:37: a whole number of characters from 1 to 1000 expected"},
      {chain + "ration a inside chain { counts everything; " + Amounts(100, 100) + " }",
       "4:8: 'a' counts the same requests as 'chain', into the same buckets, and never gives more, so "
       "'chain' is never "
       "met; other requests or other buckets expected, or one ration of the two"},
      // Contradictions with the ration around.
      {kHead + "ration a { counts class page, writes; " + Amounts(9, 9) +
           "}\nration b inside a { counts class page or order, reads; " + Amounts(1, 1) + "}",
       "4:28: 'a', which 'b' is inside of, does not count class 'order'; part of what it counts expected\n"
       "4:49: 'a', which 'b' is inside of, does not count reads; part of what it counts expected"},
      {chain + "ration b inside chain { counts writes; rate 101 a second; burst 201;\n while zone lost: rate "
               "200 a second, burst 1; }",
       "4:45: the rate is larger than 'chain', which 'b' is inside of, ever gives (100 a second); at most "
       "that expected, or 'borrows'\n"
       "4:65: the burst is larger than that of 'chain', which 'b' is inside of, ever is (200); at most that "
       "expected, or 'borrows'\n"
       "5:24: the rate is larger than 'chain', which 'b' is inside of, ever gives (100 a second); at most "
       "that expected, or 'borrows'"},
      {chain + "ration b inside q {borrows;" + two,
       "4:17: no ration of the name 'q' is known; expected one of 'chain'"},
      {With("borrows;"), "6:2: 'r' is inside no ration, so there is nothing to borrow; 'inside' expected"},
      {chain + "ration a inside chain { counts writes; " + Amounts(10, 10) + " borrows; }\n" +
           "ration b inside a { counts class page; " + Amounts(100, 100) + " }\n" +
           "ration c inside a { counts class order; rate 100.5 a second; burst 9; }",
       "6:46: the rate is larger than 'a', which 'c' is inside of, ever gives (100 a second); at most that "
       "expected, "
       "or 'borrows'"},
      {kHead + "ration a { counts each key group of 4 characters; " + Amounts(9, 9) + "}\n" +
           "ration b inside a { counts writes, each key group of 3 characters; " + Amounts(1, 1) + "}",
       "4:54: 'a', which 'b' is inside of, has a bucket for each group of 4 characters; at least as many "
       "expected"},
      // No order.
      {chain + "ration a inside chain { counts class page or order, firsts; " + Amounts(1, 1) + "}\n" +
           "ration b inside chain { counts class order, writes, franchisee south; " + Amounts(1, 1) + "}",
       "5:8: 'b' and 'a' (line 4) may both count one request, such as a first write of class 'order' of "
       "franchisee "
       "'south', and neither is inside the other; one inside the other expected, or requests apart"},
      // Amounts and times.
      {With("while zone lost: rate 0 a second, burst 0.9;"),
       "6:24: a rate above 0 expected, from 0.0001 to 1000000000 a second\n6:42: a burst of 1 or more "
       "expected, up to 1000000000"},
      {With("while zone lost: rate -3 a second, burst 1;"),
       "6:24: a rate above 0 expected, from 0.0001 to 1000000000 a second"},
      {With("from 2027-02-30 06:00: rate 5 a second, burst 5;"),
       "6:7: no such day; one of the years 1970 to 2037 expected"},
      {With("from 2027-02-20 24:01: rate 5 a second, burst 5;"),
       "6:18: no such time of day; 00:00 to 24:00 expected"},
      {With("from 2027-05-03 00:00 to 2027-05-02 00:00: rate 5 a second, burst 5;"),
       "6:27: the time ends before it begins, or as it does; a later end expected"},
      {With("daily from 08:00 to 07:00 between 2027-05-02 and 2027-05-02: rate 5 a second, burst 5;"),
       "6:22: the hours end before they begin, or as they do; a later end expected, up to 24:00"},
      {With("daily from 08:00 to 09:00 between 2027-05-02 and 2027-05-01: rate 5 a second, burst 5;"),
       "6:51: the days end before they begin; the same day or a later one expected"},
      {With("daily from 03:10 to 03:20 between 2027-03-28 and 2027-03-28: rate 5 a second, burst 5;"),
       "6:13: clocks are put forward over these hours; hours that there are expected"},
      {With("from 2027-05-01 00:00: rate 5 a second, burst 5;\n until 2027-05-01 00:01: rate 6 a second, "
            "burst 6;"),
       "7:2: the time overlaps that of the change at line 6, column 2, under the same conditions; times "
       "apart expected"},
      {With("from 2027-05-01 00:00 to 2027-05-09 00:00: rate 5 a second, burst 5;\n"
            " from 2027-04-01 00:00 to 2027-05-02 00:00 while zone lost: rate 6 a second, burst 6;\n"
            " from 2027-05-09 00:00 to 2027-05-10 00:00: rate 6 a second, burst 6;\n"
            " from 2027-05-02 00:00 to 2027-05-03 00:00: rate 6 a second, burst 6;\n"
            " from 2027-05-07 00:00 to 2027-05-08 00:00: rate 6 a second, burst 6;"),
       "9:2: the time overlaps that of the change at line 6, column 2, under the same conditions; times "
       "apart expected\n"
       "10:2: the time overlaps that of the change at line 6, column 2, under the same conditions; times "
       "apart expected"},
      {With("while zone lost: rate 5 a second, burst 5;\n from 2027-05-01 00:00 while origin strained and "
            "zone lost: rate 6 a second, burst 6;"),
       "7:2: never in force: the change at line 6, column 2 holds whenever this one would, and the first "
       "that holds "
       "counts; this one before it expected"},
      {With("daily from 08:00 to 09:00 between 2027-01-01 and 2030-01-01: rate 5 a second, burst 5;"),
       "6:2: too many changes, daily hours counted by the day; at most 1000 of a ration and 10000 of a book "
       "expected"},
  };
  for (const Case& one : cases) {
    CAPTURE(one.text);
    CHECK(FaultsOf(one.text) == one.fault);
  }
}
