// The errors of the quota configuration language: each with its location and what was expected.
#include <doctest/doctest.h>

#include <string>

#include "rations/quota_config_test_util.h"

using namespace peatbend::rations::test;

TEST_CASE("an invalid configuration is rejected with the location and what was expected") {
  struct Case {
    std::string text, errors;
  };
  std::string chain = kHeader + "ration chain { counts everything; " + RateAndBurst(100, 200) + " }\n";
  std::string two = " counts writes; " + RateAndBurst(1, 1) + " }\n";
  const Case cases[] = {
      // The grammar.
      {"", "1:1: 'book' expected, found the end of the book"},
      {"book 1", "1:6: 'reads' expected, found '1'"},
      {"book reads x", "1:12: a version of the language, such as 1 expected, found 'x'"},
      {"book reads 1\nrations x {", "2:1: 'ration' or 'retire' expected, found 'rations'"},
      {"book reads 1\ntime zone ;", "2:11: a time zone such as Europe/Athens expected, found ';'"},
      {"book reads 1\nration {", "2:8: a name for the ration, of at most 64 characters, expected, found '{'"},
      {"book reads 1\nration a inside {", "2:17: the name of a ration defined above expected, found '{'"},
      {"book reads 1\nration a b {", "2:10: '{' or 'inside' expected, found 'b'"},
      {"book reads 1\nration a { hard;\n",
       "3:1: 'counts', 'rate', 'burst', 'hard', 'soft', 'borrows', 'over', 'from', 'until', 'daily', 'while' "
       "or '}' "
       "expected, found the end of the book"},
      {WithStatement("counts;"),
       "6:8: 'everything', 'reads', 'writes', 'firsts', 'repeats', 'class NAME', 'franchisee NAME' or "
       "'each' and an attribute expected, found ';'"},
      {WithStatement("counts class;"), "6:14: the name of a class expected, found ';'"},
      {WithStatement("counts class page order;"), "6:20: ',' or ';' expected, found 'order'"},
      {WithStatement("counts franchisee north or ,"), "6:29: the name of a franchisee expected, found ','"},
      {WithStatement("counts each member;"),
       "6:14: 'franchisee', 'class', 'shop' or 'key group of N characters' expected, found 'member'"},
      {WithStatement("counts each key group of x"), "6:27: a number of characters expected, found 'x'"},
      {WithStatement("rate fast;"), "6:7: a number of requests, such as 200 or 0.5 expected, found 'fast'"},
      {WithStatement("rate 5;"), "6:8: 'a second', 'a minute' or 'an hour' expected, found ';'"},
      {WithStatement("rate 5 a day;"), "6:11: 'second' or 'minute' expected, found 'day'"},
      {WithStatement("burst 5"), "7:1: ';' expected, found '}'"},
      {WithStatement("soft;"), "6:6: ', alone' and what to do expected, found ';'"},
      {WithStatement("soft, alone closed;"),
       "6:14: 'reject', 'own share' or 'open' expected, found 'closed'"},
      {WithStatement("over: wait;"), "6:8: 'reject', 'rank lower' or 'count only' expected, found 'wait'"},
      {WithStatement("from 2027-4-26 06:00"), "6:7: a date such as 2027-04-26 expected, found '2027-4-26'"},
      {WithStatement("from 2027-04-26 6:00"), "6:18: a time of day such as 06:00 expected, found '6'"},
      {WithStatement("while tired: rate"), "6:8: 'origin strained' or 'zone lost' expected, found 'tired'"},
      {WithStatement("while zone lost: rate 5 a second;"), "6:34: ', burst' expected, found ';'"},
      {WithStatement("firm;"),
       "6:2: 'counts', 'rate', 'burst', 'hard', 'soft', 'borrows', 'over', 'from', 'until', 'daily', "
       "'while' or '}' expected, found 'firm'"},
      {WithStatement("\xff;"),
       "6:2: 'counts', 'rate', 'burst', 'hard', 'soft', 'borrows', 'over', 'from', 'until', 'daily', "
       "'while' or '}' expected, found '\\xff'"},
      {WithStatement("hard\n counts x; rate q;"),  // the errors of all statements, not just of the first
       "7:2: ';' expected, found 'counts'\n7:17: a number of requests, such as 200 or 0.5 expected, found "
       "'q'"},
      // Versions and names.
      {"book reads 3\nwhatever 2 means",
       "1:12: the book needs version 3 of the language; this program reads versions 1 to 2"},
      {"book reads 1 time zone Europe/Athen",
       "1:24: no time zone of the name 'Europe/Athen' is known; 'Europe/Athens' expected?"},
      {kHeader + "ration r { counts class campain-send; " + RateAndBurst(1, 1) + "}",
       "3:25: no class of the name 'campain-send' is known; 'campaign-send' expected?"},
      {kHeader + "ration r { counts franchisee nowhere-at-all; " + RateAndBurst(1, 1) + "}",
       "3:30: no franchisee of the name 'nowhere-at-all' is known; expected one of 'north', 'south', "
       "'isles'"},
      {chain + "ration b inside chian {" + two,
       "4:17: no ration of the name 'chian' is known; 'chain' expected?"},
      {chain + "ration chain inside chain {" + two,
       "4:8: ration 'chain' is already defined at line 3; another name expected\n"
       "4:21: 'chain' cannot be inside itself; a ration defined above expected"},
      {kHeader + "ration a inside b {" + two + "ration b {" + two,
       "3:17: ration 'b' is defined later, at line 4; a ration defined above expected"},
      {chain + "ration a inside chain {" + two +
           "ration b inside a { counts each shop; rate 1 a second; burst 1; }\n" +
           "ration c inside b { counts firsts; rate 1 a second; burst 1; }\n" +
           "ration d inside c { counts class page; rate 1 a second; burst 1; }",
       "7:17: 'd' would be nested 5 deep; at most 4 rations inside each other expected"},
      {"book reads 1 ration " + std::string(65, 'x') + " {",
       "1:21: a name for the ration, of at most 64 characters, expected, found "
       "'xxxxxxxxxxxxxxxxxxxxxxxxxxxxxx'"},
      {kHeader + "ration a inside a {" + two,
       "3:17: 'a' cannot be inside itself; a ration defined above expected"},
      {kHeader + "ration r { counts class page or order or page; " + RateAndBurst(1, 1) + "}",
       "3:42: class 'page' is listed twice; once expected"},
      // Repeated and missing statements.
      {kHeader + "ration r { hard; }",
       "3:8: 'r' has no 'counts' statement, which is expected in each ration\n"
       "3:8: 'r' has no 'rate' statement, which is expected in each ration\n"
       "3:8: 'r' has no 'burst' statement, which is expected in each ration"},
      {WithStatement("rate 5 a second;"), "6:2: 'r' has this statement already at line 5; once expected"},
      {WithStatement("hard; soft, alone open;"),
       "6:8: 'r' has this statement already at line 6; once expected"},
      // Selectors that match no request, or repeat another.
      {kHeader + "ration r { counts firsts, repeats; " + RateAndBurst(1, 1) + "}",
       "3:27: no request is both a first try and a retry, so none is counted; one of the two expected, or "
       "neither"},
      {kHeader + "ration r { counts reads, writes; " + RateAndBurst(1, 1) + "}",
       "3:26: no request is both a read and a write, so none is counted; one of the two expected, or "
       "neither"},
      {kHeader + "ration r { counts class page, class order; " + RateAndBurst(1, 1) + "}",
       "3:31: a request has one class only; names joined by 'or' expected"},
      {kHeader + "ration r { counts writes, everything; " + RateAndBurst(1, 1) + "}",
       "3:27: 'everything' counts all requests; alone or with 'each' expected"},
      {kHeader + "ration r { counts each shop, of each shop; " + RateAndBurst(1, 1) + "}",
       "3:38: 'each' has this attribute already; once expected"},
      {kHeader + "ration r { counts each key group of 0 characters; " + RateAndBurst(1, 1) + "}",
       "3:37: a whole number of characters from 1 to 1000 expected"},
      {chain + "ration a inside chain { counts everything; " + RateAndBurst(100, 100) + " }",
       "4:8: 'a' counts the same requests as 'chain', into the same buckets, and never gives more, so "
       "'chain' has no effect; other requests or other buckets expected, or one ration of the two"},
      // Contradictions with the enclosing ration.
      {kHeader + "ration a { counts class page, writes; " + RateAndBurst(9, 9) +
           "}\nration b inside a { counts class page or order, reads; " + RateAndBurst(1, 1) + "}",
       "4:28: 'a', which 'b' is inside of, does not count class 'order'; a part of what it counts expected\n"
       "4:49: 'a', which 'b' is inside of, does not count reads; a part of what it counts expected"},
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
      {WithStatement("borrows;"),
       "6:2: 'r' is not inside another ration, so it has nothing to borrow; 'inside' expected"},
      {chain + "ration a inside chain { counts writes; " + RateAndBurst(10, 10) + " borrows; }\n" +
           "ration b inside a { counts class page; " + RateAndBurst(100, 100) + " }\n" +
           "ration c inside a { counts class order; rate 100.5 a second; burst 9; }",
       "6:46: the rate is larger than 'a', which 'c' is inside of, ever gives (100 a second); at most that "
       "expected, "
       "or 'borrows'"},
      {kHeader + "ration a { counts each key group of 4 characters; " + RateAndBurst(9, 9) + "}\n" +
           "ration b inside a { counts writes, each key group of 3 characters; " + RateAndBurst(1, 1) + "}",
       "4:54: 'a', which 'b' is inside of, has a bucket for each group of 4 characters; at least as many "
       "expected"},
      // Overlapping quotas that are not nested.
      {chain + "ration a inside chain { counts class page or order, firsts; " + RateAndBurst(1, 1) + "}\n" +
           "ration b inside chain { counts class order, writes, franchisee south; " + RateAndBurst(1, 1) +
           "}",
       "5:8: 'b' and 'a' (line 4) may both count one request, such as a first write of class 'order' of "
       "franchisee "
       "'south', and neither is inside the other; one inside the other expected, or disjoint requests"},
      // Rates, bursts and times.
      {WithStatement("while zone lost: rate 0 a second, burst 0.9;"),
       "6:24: a rate above 0 expected, from 0.0001 to 1000000000 a second\n6:42: a burst of 1 or more "
       "expected, up to 1000000000"},
      {WithStatement("while zone lost: rate -3 a second, burst 1;"),
       "6:24: a rate above 0 expected, from 0.0001 to 1000000000 a second"},
      {WithStatement("from 2027-02-30 06:00: rate 5 a second, burst 5;"),
       "6:7: no such day; a date in the years 1970 to 2037 expected"},
      {WithStatement("from 2027-02-20 24:01: rate 5 a second, burst 5;"),
       "6:18: no such time of day; 00:00 to 24:00 expected"},
      {WithStatement("from 2027-05-03 00:00 to 2027-05-02 00:00: rate 5 a second, burst 5;"),
       "6:27: the period does not end after it begins; a later end expected"},
      {WithStatement(
           "daily from 08:00 to 07:00 between 2027-05-02 and 2027-05-02: rate 5 a second, burst 5;"),
       "6:22: the hours do not end after they begin; a later end expected, up to 24:00"},
      {WithStatement(
           "daily from 08:00 to 09:00 between 2027-05-02 and 2027-05-01: rate 5 a second, burst 5;"),
       "6:51: the days end before they begin; the same day or a later one expected"},
      {WithStatement(
           "daily from 03:10 to 03:20 between 2027-03-28 and 2027-03-28: rate 5 a second, burst 5;"),
       "6:13: clocks are put forward over these hours on each of the days; other hours expected"},
      {WithStatement(
           "from 2027-05-01 00:00: rate 5 a second, burst 5;\n until 2027-05-01 00:01: rate 6 a second, "
           "burst 6;"),
       "7:2: the time overlaps that of the change at line 6, column 2, under the same conditions; separate "
       "times expected"},
      {WithStatement("from 2027-05-01 00:00 to 2027-05-09 00:00: rate 5 a second, burst 5;\n"
                     " from 2027-04-01 00:00 to 2027-05-02 00:00 while zone lost: rate 6 a second, burst 6;\n"
                     " from 2027-05-09 00:00 to 2027-05-10 00:00: rate 6 a second, burst 6;\n"
                     " from 2027-05-02 00:00 to 2027-05-03 00:00: rate 6 a second, burst 6;\n"
                     " from 2027-05-07 00:00 to 2027-05-08 00:00: rate 6 a second, burst 6;"),
       "9:2: the time overlaps that of the change at line 6, column 2, under the same conditions; separate "
       "times expected\n"
       "10:2: the time overlaps that of the change at line 6, column 2, under the same conditions; separate "
       "times expected"},
      {WithStatement(
           "while zone lost: rate 5 a second, burst 5;\n from 2027-05-01 00:00 while origin strained and "
           "zone lost: rate 6 a second, burst 6;"),
       "7:2: never in force: the change at line 6, column 2 holds whenever this one would, and the first "
       "that holds "
       "counts; this one before it expected"},
      {WithStatement(
           "daily from 08:00 to 09:00 between 2027-01-01 and 2030-01-01: rate 5 a second, burst 5;"),
       "6:2: too many changes, with one for each day of daily hours; at most 1000 of a ration and 10000 of a "
       "book "
       "expected"},
  };
  for (const Case& one : cases) {
    CAPTURE(one.text);
    CHECK(ErrorsOf(one.text) == one.errors);
  }
}
