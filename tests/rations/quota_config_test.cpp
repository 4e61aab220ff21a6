// The language of rations: good books to their tables, the canonical form. Refusals: book_refusals_test.cpp.
#include "rations/quota_config.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <pcg_random.hpp>
#include <string>
#include <tao/pegtl/contrib/analyze.hpp>
#include <vector>

#include "rations/quota_config_grammar.h"
#include "rations/quota_config_test_util.h"
#include "rations/quota_config_times.h"

using namespace peatbend;
using namespace peatbend::rations;
using namespace peatbend::rations::test;

namespace {

std::int64_t Utc(int year, int month, int day, int hour, int minute = 0) {
  return book::Zone::Named("UTC")->UnixOf({{}, year, month, day}, {{}, hour, minute, 0});
}

const RateOverride kHolyWeek{Utc(2027, 4, 26, 3), Utc(2027, 5, 2, 21), kNoCondition, {200, 400}};

}  // namespace
TEST_CASE("a book for Holy Week is read whole") {
  QuotaTable table = Read(kHead + R"(
ration chain { counts everything; rate 4000 a second; burst 8000; soft, alone own share; }  # the origin's strength
ration franchisee inside chain { counts each franchisee; rate 300 a second; burst 600; borrows; over: rank lower; }
ration pushes inside franchisee {
  counts class campaign-send or "thumb nail", writes, of each franchisee;
  rate 50 a second; burst 100; hard; over count only;
  from 2027-04-26 06:00 to 2027-05-03 00:00: rate 200 a second, burst 400;
  until 2027-01-01 00:00 while zone lost and origin strained rate 600 a minute, burst 20.5;
  while origin strained: rate 20 a second, burst 20;
}
ration shop inside pushes { counts each shop, each key group of 7 characters, firsts, franchisee isles or north;
  rate 1.5 a second; burst 10; soft, alone open; }
)");
  Quota chain, franchisee, pushes, shop;
  chain.name = "chain";
  chain.rate = {4000, 8000};
  chain.hard = false;
  chain.when_unreachable = WhenUnreachable::kOwnShare;
  franchisee.name = "franchisee";
  franchisee.bucket_key = kPerTenant;
  franchisee.rate = {300, 600};
  franchisee.parent = 0;
  franchisee.borrows = true;
  franchisee.over_limit = OverLimitAction::kLowerPriority;
  pushes.name = "pushes";
  pushes.classes = {1, 3};
  pushes.access = AccessKind::kWrites;
  pushes.bucket_key = kPerTenant;
  pushes.rate = {50, 100};
  pushes.overrides = {kHolyWeek,
                      {INT64_MIN, Utc(2026, 12, 31, 22), kOriginOverloaded | kZoneLost, {10, 20.5}},
                      {INT64_MIN, INT64_MAX, kOriginOverloaded, {20, 20}}};
  pushes.parent = 1;
  pushes.over_limit = OverLimitAction::kCountOnly;
  shop = pushes;  // what it counts is part of that
  shop.name = "shop";
  shop.tenants = {0, 2};
  shop.try_kind = TryKind::kFirst;
  shop.bucket_key = kPerTenant | kPerClient | kPerKeyPrefix;
  shop.key_prefix_length = 7;
  shop.rate = {1.5, 10};
  shop.overrides.clear();
  shop.parent = 2;
  shop.hard = false;
  shop.when_unreachable = WhenUnreachable::kAdmit;
  shop.over_limit = OverLimitAction::kReject;
  REQUIRE(table.quotas.size() == 4);
  CHECK(table.quotas[0] == chain);
  CHECK(table.quotas[1] == franchisee);
  CHECK(table.quotas[2] == pushes);
  CHECK(table.quotas[3] == shop);
  CHECK(table.language_version == 1);
  CHECK(table.fingerprint != 0);
}

TEST_CASE("the manual's books are read") {
  std::ifstream file(PEATBEND_SOURCE "/docs/rations.md");
  std::string line, text;
  int read = 0;
  for (bool in = false; std::getline(file, line);) {
    if (in && line == "```") {
      CAPTURE(text);
      CHECK(FaultsOf(text) == "");
      ++read;
      in = false;
    } else if (in) {
      text += line + "\n";
    } else if (line == "```rations") {
      in = true;
      text.clear();
    }
  }
  CHECK(read == 3);
}

TEST_CASE("version 2 of the language retires readers, and version 1 does not") {
  std::string retires =
      "retire reader \"n 7\" statement 3 because \"sold\"; retire reader n8 statement 0 because \"x\";";
  QuotaTable read = Read("book reads 2 " + retires + "ration r { counts reads; rate 1 a second; burst 1; }");
  CHECK(read.language_version == 2);
  CHECK(read.retired_readers == std::vector<RetiredReader>{{"n 7", 3, "sold"}, {"n8", 0, "x"}});
  CHECK(read.fingerprint !=
        Read("book reads 2 ration r { counts reads; rate 1 a second; burst 1; }").fingerprint);
  QuotaTable again = Read(FormatQuotaConfig(read, Shop()));
  CHECK(again.retired_readers == read.retired_readers);
  CHECK(again.fingerprint == read.fingerprint);
  CHECK_THROWS_WITH(Read("book reads 1 " + retires),
                    "b:1:14: 'retire' is of version 2 of the language, and the book reads 1");
  CHECK_THROWS_WITH(ParseQuotaConfig("book reads 2", Shop(), "b", 1),
                    "b:1:12: the book needs version 2 of the language; this program reads version 1");
  CHECK_THROWS_WITH(Read("book reads 2 retire reader n7 statement 3;"),
                    "b:1:42: 'because' expected, found ';'");
  CHECK_THROWS_WITH(
      Read("book reads 2 retire reader n7 statement 3 because \"\"; retire reader n7 statement 4 because "
           "\"y\";"),
      "b:1:51: a reason of 1 to 128 bytes expected\nb:1:69: reader 'n7' is retired above; once expected");
}

TEST_CASE("an empty book is one that rations nothing") {
  CHECK(Read("book reads 1").quotas.empty());
  CHECK(Read("\n# nothing yet\nbook reads 1 # no more").fingerprint == Read(kHead).fingerprint);
}

TEST_CASE("clocks that change") {
  struct Case {
    const char* times;
    std::int64_t from, to;
  } cases[] = {
      // Athens puts its clocks forward at 01:00 UTC on 2027-03-28, from 03:00 to 04:00.
      {"from 2027-03-28 02:59 to 2027-03-28 04:00", Utc(2027, 3, 28, 0, 59), Utc(2027, 3, 28, 1)},
      {"from 2027-03-28 03:30 to 2027-03-28 04:30", Utc(2027, 3, 28, 1), Utc(2027, 3, 28, 1, 30)},
      {"from 2027-03-28 02:30 to 2027-03-28 03:00", Utc(2027, 3, 28, 0, 30), Utc(2027, 3, 28, 1)},
      // And back at 01:00 UTC on 2027-10-31, from 04:00 to 03:00: 03:30 is there twice, and the first is
      // meant.
      {"from 2027-10-31 03:30 to 2027-10-31 04:00", Utc(2027, 10, 31, 0, 30), Utc(2027, 10, 31, 2)},
      {"from 2027-10-31 02:00 to 2027-10-31 03:59", Utc(2027, 10, 30, 23), Utc(2027, 10, 31, 0, 59)},
      {"from 2027-10-30 00:00 to 2027-10-31 24:00", Utc(2027, 10, 29, 21), Utc(2027, 10, 31, 22)},
  };
  for (const Case& one : cases) {
    CAPTURE(one.times);
    QuotaTable table = Read(With(std::string(one.times) + ": rate 5 a second, burst 5;"));
    REQUIRE(table.quotas[0].overrides.size() == 1);
    CHECK(table.quotas[0].overrides[0] == RateOverride{one.from, one.to, kNoCondition, {5, 5}});
  }
  CHECK(FaultsOf(With("from 2027-03-28 03:10 to 2027-03-28 03:50: rate 5 a second, burst 5;"))
            .starts_with("6:27: the time ends before it begins"));
}

TEST_CASE("daily hours are counted out by local days") {
  QuotaTable table =
      Read(With("daily from 03:00 to 04:00 between 2027-03-27 and 2027-03-29 while zone lost: rate 5 an "
                "hour, burst 5;"));
  TokenRate pace{5.0 / 3600, 5};  // on the 28th there is no such hour
  CHECK(table.quotas[0].overrides ==
        std::vector<RateOverride>{{Utc(2027, 3, 27, 1), Utc(2027, 3, 27, 2), kZoneLost, pace},
                                  {Utc(2027, 3, 29, 0), Utc(2027, 3, 29, 1), kZoneLost, pace}});
  table =
      Read(With("daily from 23:00 to 24:00 between 2027-12-31 and 2028-01-01: rate 5 a second, burst 5;"));
  REQUIRE(table.quotas[0].overrides.size() == 2);
  CHECK(table.quotas[0].overrides[1].to_s == Utc(2028, 1, 1, 22));
}

TEST_CASE("taken, though two count the same requests in the same buckets") {
  for (const char* but : {"borrows;", "over: rank lower;", "over: count only;", "soft, alone open;"}) {
    std::string both = kHead + "ration a { counts everything; " + Amounts(9, 9) +
                       "} ration b inside a { counts everything; ";
    CHECK(FaultsOf(both + Amounts(9, 9) + but + "}") == "");
    CHECK(FaultsOf(both + Amounts(9, 9) + "}").starts_with("3:"));
  }
}

TEST_CASE("bounds") {
  CHECK(FaultsOf(std::string(kMaxQuotaConfigBytes + 1, ' ')) ==
        "1:1: the book has 1048577 bytes; at most 1048576 expected");
  CHECK(Read(kHead + std::string(kMaxQuotaConfigBytes - kHead.size(), ' ')).quotas.empty());
  std::string text = kHead;
  for (int i = 0; i < 4097; ++i) text += fmt::format("ration r{} {{ }}\n", i);
  CHECK(FaultsOf(text) == "4099:8: more than 4096 rations");
  // A line of daily hours is many changes, and names are written out anew for each ration inside.
  text = kHead;
  for (const char* name : {"page", "campaign-send", "order", "\"thumb nail\""}) {
    for (const char* franchisee : {"north", "south", "isles"}) {
      text += fmt::format(
          "ration r{} {{ counts class {}, franchisee {}; rate 1 a second; burst 2;\n"
          "daily from 01:00 to 02:00 between 2027-01-01 and 2029-09-26: rate 1 a second, burst 1; }}\n",
          text.size(), name, franchisee);
    }
  }
  CHECK(FaultsOf(text) ==
        "24:1: too many changes, daily hours counted by the day; at most 1000 of a ration and 10000 of a "
        "book expected\n26:1: too many changes, daily hours counted by the day; at most 1000 of a "
        "ration and 10000 of a book expected");
  Settings settings = Shop();
  settings.classes[0].name = std::string(300'000, 'x');
  text = "book reads 1 ration a { counts class " + settings.classes[0].name + "; rate 1 a second; burst 1; }";
  text +=
      " ration b inside a { counts each shop; rate 1 a second; burst 1; } ration c inside b { counts reads; "
      "rate 1 a "
      "second; burst 1; } ration d inside c { counts firsts; rate 1 a second; burst 1; }";
  try {
    ParseQuotaConfig(text, settings, "b");
    FAIL("taken");
  } catch (const InvalidQuotaConfig& refused) {
    CHECK(std::string(refused.what()).starts_with("b:1:1: the book's canonical form"));
  }
  // As many faults as are told, however many there are.
  text = kHead + "ration r {";
  for (int i = 0; i < 100'000; ++i) text += "\"\\\";";
  try {
    Read(text);
    FAIL("taken");
  } catch (const InvalidQuotaConfig& refused) {
    CHECK(refused.errors().size() <= kMaxQuotaConfigErrors);
  }
}

TEST_CASE("the print holds the numbers of the names that the book uses") {
  std::string text = kHead + "ration r { counts class order; " + Amounts(1, 1) + "}";
  std::uint64_t print = Read(text).fingerprint;
  Settings settings = Shop();
  settings.classes.push_back({.name = "later"});
  settings.tenants.clear();
  CHECK(ParseQuotaConfig(text, settings, "b").fingerprint == print);
  std::swap(settings.classes[1], settings.classes[2]);
  CHECK(ParseQuotaConfig(text, settings, "b").fingerprint != print);
  std::string each = kHead + "ration r { counts each class; " + Amounts(1, 1) + "}";
  CHECK(ParseQuotaConfig(each, settings, "b").fingerprint != Read(each).fingerprint);
  settings.classes[3].name = "order";
  CHECK_THROWS_WITH_AS(
      ParseQuotaConfig(text, settings, "b"),
      "b:3:25: the settings have more than one class of the name 'order'; a name of one expected",
      InvalidQuotaConfig);
}

TEST_CASE("the grammar cannot go round without taking a character") {
  CHECK(tao::pegtl::analyze<book::grammar::book>() == 0);
}

namespace {

using Random = pcg32;

std::vector<int> Some(Random& random, int of) {
  std::vector<int> some;
  for (int i = 0; i < of; ++i) {
    if (random(3) == 0) some.push_back(i);
  }
  return some;
}

TokenRate Amount(Random& random, TokenRate most) {
  double share = (1 + random(900)) / 1000.0;
  double units[] = {1, 60, 3600};
  double rate = most.per_second * share;
  if (random(2) == 0) rate = std::max(1.0, std::floor(rate)) / units[random(3)];
  return {std::min(rate, most.per_second), std::max(1.0, std::floor(most.burst * share * 4) / 4)};
}

// Rations with names, amounts and changes that may stand; whether they are in order is left to chance.
QuotaTable Any(Random& random) {
  QuotaTable table;
  for (unsigned n = 1 + random(6); n > 0; --n) {
    Quota r;
    std::size_t depth = 1;
    if (!table.quotas.empty() && random(3) > 0) {
      int inside = static_cast<int>(random(static_cast<std::uint32_t>(table.quotas.size())));
      r = table.quotas[inside];
      r.parent = inside;
      for (int i = inside; i >= 0; i = table.quotas[i].parent) ++depth;
    }
    if (depth > kMaxQuotaDepth) continue;
    Quota around = r;
    r.name = fmt::format("r{}", table.quotas.size());
    if (r.tenants.empty()) r.tenants = Some(random, 3);
    if (r.classes.empty()) r.classes = Some(random, 4);
    if (r.access == AccessKind::kAny) r.access = static_cast<AccessKind>(random(3));
    if (r.try_kind == TryKind::kAny) r.try_kind = static_cast<TryKind>(random(3));
    r.bucket_key |= 1u << random(8) & 15u;
    if (r.bucket_key & kPerKeyPrefix)
      r.key_prefix_length += static_cast<int>(random(3)) + (r.key_prefix_length == 0 ? 1 : 0);
    bool same = r.tenants == around.tenants && r.classes == around.classes && r.access == around.access &&
                r.try_kind == around.try_kind && r.bucket_key == around.bucket_key &&
                r.key_prefix_length == around.key_prefix_length;
    if (r.parent >= 0 && same) continue;
    r.hard = random(2) == 0;
    r.when_unreachable = r.hard ? WhenUnreachable::kReject : static_cast<WhenUnreachable>(random(3));
    r.over_limit = static_cast<OverLimitAction>(random(3));
    r.borrows = r.parent >= 0 && random(2) == 0;
    TokenRate most = r.parent < 0 ? TokenRate{1e6, 1e6} : table.quotas[r.parent].rate;
    if (most.per_second < 0.01) continue;
    r.rate = Amount(random, most);
    r.overrides.clear();
    std::int64_t at = Utc(2027, 3, 1, 0) + random(100'000);
    for (unsigned c = random(4); c > 0; --c) {
      RateOverride change{at, at += 1 + random(3'000'000), random(4), Amount(random, most)};
      if (c == 1 && random(2) == 0) change.to_s = INT64_MAX;
      r.overrides.push_back(change);
    }
    table.quotas.push_back(r);
  }
  return table;
}

// By looking at every request that there can be: whether the rations that count it are each inside the next.
bool InOrder(const QuotaTable& table) {
  auto in = [](const std::vector<int>& list, int one) {
    return list.empty() || std::find(list.begin(), list.end(), one) != list.end();
  };
  for (int request = 0; request < 4 * 4 * 2 * 2; ++request) {
    int tenant = request % 4 - 1, cls = request / 4 % 4, write = request / 16 % 2, repeat = request / 32;
    int last = -1;
    for (std::size_t i = 0; i < table.quotas.size(); ++i) {
      const Quota& r = table.quotas[i];
      if (!in(r.tenants, tenant) || !in(r.classes, cls)) continue;
      if (r.access != AccessKind::kAny && (r.access == AccessKind::kWrites) != (write == 1)) continue;
      if (r.try_kind != TryKind::kAny && (r.try_kind == TryKind::kRetry) != (repeat == 1)) continue;
      if (r.parent != last) return false;
      last = static_cast<int>(i);
    }
  }
  return true;
}

}  // namespace

TEST_CASE("what is printed is read again as it was, or refused for want of order") {
  int taken = 0, refused = 0;
  for (std::uint64_t seed = 1; seed <= 4000; ++seed) {
    Random random(seed);
    QuotaTable table = Any(random);
    std::string printed = FormatQuotaConfig(table, Shop());
    CAPTURE(printed);
    if (!InOrder(table)) {
      ++refused;
      CHECK(FaultsOf(printed).find("may both count one request") != std::string::npos);
      continue;
    }
    ++taken;
    REQUIRE(FaultsOf(printed) == "");
    QuotaTable again = Read(printed);
    CHECK(again.quotas == table.quotas);
    CHECK(FormatQuotaConfig(again, Shop()) == printed);
    // However it is laid out.
    std::string other;
    for (char c : printed)
      other += c == '\n' && random(2) == 0 ? std::string(" # so; it } is\r\n\t") : std::string(1, c);
    CHECK(Read(other).fingerprint == again.fingerprint);
  }
  CHECK(taken > 500);
  CHECK(refused > 500);
}
