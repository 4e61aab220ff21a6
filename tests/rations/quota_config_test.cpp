// The quota configuration language: valid configurations and their tables, and the canonical form. Errors are
// in quota_config_errors_test.cpp.
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
  return book::TimeZone::Find("UTC")->ToUnixSeconds({{}, year, month, day}, {{}, hour, minute, 0});
}

const RateOverride kWeekOverride{Utc(2027, 4, 26, 3), Utc(2027, 5, 2, 21), kNoCondition, {200, 400}};

}  // namespace
TEST_CASE("a configuration with all kinds of statements compiles to the expected table") {
  QuotaTable table = Parse(kHeader + R"(
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
  pushes.overrides = {kWeekOverride,
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

TEST_CASE("the examples of the manual are valid") {
  std::ifstream file(PEATBEND_SOURCE "/docs/rations.md");
  std::string line, text;
  int valid = 0;
  for (bool in_example = false; std::getline(file, line);) {
    if (in_example && line == "```") {
      CAPTURE(text);
      CHECK(ErrorsOf(text) == "");
      ++valid;
      in_example = false;
    } else if (in_example) {
      text += line + "\n";
    } else if (line == "```rations") {
      in_example = true;
      text.clear();
    }
  }
  CHECK(valid == 3);
}

TEST_CASE("version 2 of the language retires readers, and version 1 does not") {
  std::string retires =
      "retire reader \"n 7\" statement 3 because \"sold\"; retire reader n8 statement 0 because \"x\";";
  QuotaTable parsed =
      Parse("book reads 2 " + retires + "ration r { counts reads; rate 1 a second; burst 1; }");
  CHECK(parsed.language_version == 2);
  CHECK(parsed.retired_readers == std::vector<RetiredReader>{{"n 7", 3, "sold"}, {"n8", 0, "x"}});
  CHECK(parsed.fingerprint !=
        Parse("book reads 2 ration r { counts reads; rate 1 a second; burst 1; }").fingerprint);
  QuotaTable again = Parse(FormatQuotaConfig(parsed, TestSettings()));
  CHECK(again.retired_readers == parsed.retired_readers);
  CHECK(again.fingerprint == parsed.fingerprint);
  CHECK_THROWS_WITH(Parse("book reads 1 " + retires),
                    "b:1:14: 'retire' needs version 2 of the language, and the book reads 1");
  CHECK_THROWS_WITH(ParseQuotaConfig("book reads 2", TestSettings(), "b", 1),
                    "b:1:12: the book needs version 2 of the language; this program reads version 1");
  CHECK_THROWS_WITH(Parse("book reads 2 retire reader n7 statement 3;"),
                    "b:1:42: 'because' expected, found ';'");
  CHECK_THROWS_WITH(
      Parse("book reads 2 retire reader n7 statement 3 because \"\"; retire reader n7 statement 4 because "
            "\"y\";"),
      "b:1:51: a reason of 1 to 128 bytes expected\nb:1:69: reader 'n7' is already retired above; once "
      "expected");
}

TEST_CASE("an empty configuration has no quotas") {
  CHECK(Parse("book reads 1").quotas.empty());
  CHECK(Parse("\n# nothing yet\nbook reads 1 # no more").fingerprint == Parse(kHeader).fingerprint);
}

TEST_CASE("local times around a change of clocks") {
  struct Case {
    const char* times;
    std::int64_t from, to;
  } cases[] = {
      // Athens puts its clocks forward at 01:00 UTC on 2027-03-28, from 03:00 to 04:00.
      {"from 2027-03-28 02:59 to 2027-03-28 04:00", Utc(2027, 3, 28, 0, 59), Utc(2027, 3, 28, 1)},
      {"from 2027-03-28 03:30 to 2027-03-28 04:30", Utc(2027, 3, 28, 1), Utc(2027, 3, 28, 1, 30)},
      {"from 2027-03-28 02:30 to 2027-03-28 03:00", Utc(2027, 3, 28, 0, 30), Utc(2027, 3, 28, 1)},
      // And back at 01:00 UTC on 2027-10-31, from 04:00 to 03:00: 03:30 occurs twice, and the first
      // is used.
      {"from 2027-10-31 03:30 to 2027-10-31 04:00", Utc(2027, 10, 31, 0, 30), Utc(2027, 10, 31, 2)},
      {"from 2027-10-31 02:00 to 2027-10-31 03:59", Utc(2027, 10, 30, 23), Utc(2027, 10, 31, 0, 59)},
      {"from 2027-10-30 00:00 to 2027-10-31 24:00", Utc(2027, 10, 29, 21), Utc(2027, 10, 31, 22)},
  };
  for (const Case& one : cases) {
    CAPTURE(one.times);
    QuotaTable table = Parse(WithStatement(std::string(one.times) + ": rate 5 a second, burst 5;"));
    REQUIRE(table.quotas[0].overrides.size() == 1);
    CHECK(table.quotas[0].overrides[0] == RateOverride{one.from, one.to, kNoCondition, {5, 5}});
  }
  CHECK(ErrorsOf(WithStatement("from 2027-03-28 03:10 to 2027-03-28 03:50: rate 5 a second, burst 5;"))
            .starts_with("6:27: the period does not end after it begins"));
}

TEST_CASE("daily hours are expanded to local days") {
  QuotaTable table = Parse(
      WithStatement("daily from 03:00 to 04:00 between 2027-03-27 and 2027-03-29 while zone lost: rate 5 an "
                    "hour, burst 5;"));
  TokenRate rate{5.0 / 3600, 5};  // on the 28th the hour does not exist
  CHECK(table.quotas[0].overrides ==
        std::vector<RateOverride>{{Utc(2027, 3, 27, 1), Utc(2027, 3, 27, 2), kZoneLost, rate},
                                  {Utc(2027, 3, 29, 0), Utc(2027, 3, 29, 1), kZoneLost, rate}});
  table = Parse(WithStatement(
      "daily from 23:00 to 24:00 between 2027-12-31 and 2028-01-01: rate 5 a second, burst 5;"));
  REQUIRE(table.quotas[0].overrides.size() == 2);
  CHECK(table.quotas[0].overrides[1].to_s == Utc(2028, 1, 1, 22));
}

TEST_CASE("a nested quota with the same requests and buckets is valid if it is not just stricter") {
  for (const char* difference : {"borrows;", "over: rank lower;", "over: count only;", "soft, alone open;"}) {
    std::string both = kHeader + "ration a { counts everything; " + RateAndBurst(9, 9) +
                       "} ration b inside a { counts everything; ";
    CHECK(ErrorsOf(both + RateAndBurst(9, 9) + difference + "}") == "");
    CHECK(ErrorsOf(both + RateAndBurst(9, 9) + "}").starts_with("3:"));
  }
}

TEST_CASE("limits") {
  CHECK(ErrorsOf(std::string(kMaxQuotaConfigBytes + 1, ' ')) ==
        "1:1: the book has 1048577 bytes; at most 1048576 expected");
  CHECK(Parse(kHeader + std::string(kMaxQuotaConfigBytes - kHeader.size(), ' ')).quotas.empty());
  std::string text = kHeader;
  for (int i = 0; i < 4097; ++i) text += fmt::format("ration r{} {{ }}\n", i);
  CHECK(ErrorsOf(text) == "4099:8: more than 4096 rations");
  // One line of daily hours becomes many overrides, and the canonical form repeats names for each nested
  // quota.
  text = kHeader;
  for (const char* name : {"page", "campaign-send", "order", "\"thumb nail\""}) {
    for (const char* franchisee : {"north", "south", "isles"}) {
      text += fmt::format(
          "ration r{} {{ counts class {}, franchisee {}; rate 1 a second; burst 2;\n"
          "daily from 01:00 to 02:00 between 2027-01-01 and 2029-09-26: rate 1 a second, burst 1; }}\n",
          text.size(), name, franchisee);
    }
  }
  CHECK(
      ErrorsOf(text) ==
      "24:1: too many changes, with one for each day of daily hours; at most 1000 of a ration and 10000 of a "
      "book expected\n26:1: too many changes, with one for each day of daily hours; at most 1000 of a "
      "ration and 10000 of a book expected");
  Settings settings = TestSettings();
  settings.classes[0].name = std::string(300'000, 'x');
  text = "book reads 1 ration a { counts class " + settings.classes[0].name + "; rate 1 a second; burst 1; }";
  text +=
      " ration b inside a { counts each shop; rate 1 a second; burst 1; } ration c inside b { counts reads; "
      "rate 1 a "
      "second; burst 1; } ration d inside c { counts firsts; rate 1 a second; burst 1; }";
  try {
    ParseQuotaConfig(text, settings, "b");
    FAIL("accepted");
  } catch (const InvalidQuotaConfig& invalid) {
    CHECK(std::string(invalid.what()).starts_with("b:1:1: the book's canonical form"));
  }
  // The number of reported errors is limited.
  text = kHeader + "ration r {";
  for (int i = 0; i < 100'000; ++i) text += "\"\\\";";
  try {
    Parse(text);
    FAIL("accepted");
  } catch (const InvalidQuotaConfig& invalid) {
    CHECK(invalid.errors().size() <= kMaxQuotaConfigErrors);
  }
}

TEST_CASE("the fingerprint depends on the indexes of the names in use") {
  std::string text = kHeader + "ration r { counts class order; " + RateAndBurst(1, 1) + "}";
  std::uint64_t fingerprint = Parse(text).fingerprint;
  Settings settings = TestSettings();
  settings.classes.push_back({.name = "later"});
  settings.tenants.clear();
  CHECK(ParseQuotaConfig(text, settings, "b").fingerprint == fingerprint);
  std::swap(settings.classes[1], settings.classes[2]);
  CHECK(ParseQuotaConfig(text, settings, "b").fingerprint != fingerprint);
  std::string each = kHeader + "ration r { counts each class; " + RateAndBurst(1, 1) + "}";
  CHECK(ParseQuotaConfig(each, settings, "b").fingerprint != Parse(each).fingerprint);
  settings.classes[3].name = "order";
  CHECK_THROWS_WITH_AS(
      ParseQuotaConfig(text, settings, "b"),
      "b:3:25: the settings have more than one class of the name 'order'; an unambiguous name expected",
      InvalidQuotaConfig);
}

TEST_CASE("the grammar has no loop that consumes no input") {
  CHECK(tao::pegtl::analyze<book::grammar::quota_config>() == 0);
}

namespace {

using Random = pcg32;

std::vector<int> RandomSubset(Random& random, int of) {
  std::vector<int> some;
  for (int i = 0; i < of; ++i) {
    if (random(3) == 0) some.push_back(i);
  }
  return some;
}

TokenRate RandomRate(Random& random, TokenRate max) {
  double share = (1 + random(900)) / 1000.0;
  double units[] = {1, 60, 3600};
  double rate = max.per_second * share;
  if (random(2) == 0) rate = std::max(1.0, std::floor(rate)) / units[random(3)];
  return {std::min(rate, max.per_second), std::max(1.0, std::floor(max.burst * share * 4) / 4)};
}

// Quotas whose names, rates and overrides are valid; whether overlapping quotas are nested is left to chance.
QuotaTable RandomTable(Random& random) {
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
    Quota parent = r;
    r.name = fmt::format("r{}", table.quotas.size());
    if (r.tenants.empty()) r.tenants = RandomSubset(random, 3);
    if (r.classes.empty()) r.classes = RandomSubset(random, 4);
    if (r.access == AccessKind::kAny) r.access = static_cast<AccessKind>(random(3));
    if (r.try_kind == TryKind::kAny) r.try_kind = static_cast<TryKind>(random(3));
    r.bucket_key |= 1u << random(8) & 15u;
    if (r.bucket_key & kPerKeyPrefix)
      r.key_prefix_length += static_cast<int>(random(3)) + (r.key_prefix_length == 0 ? 1 : 0);
    bool same = r.tenants == parent.tenants && r.classes == parent.classes && r.access == parent.access &&
                r.try_kind == parent.try_kind && r.bucket_key == parent.bucket_key &&
                r.key_prefix_length == parent.key_prefix_length;
    if (r.parent >= 0 && same) continue;
    r.hard = random(2) == 0;
    r.when_unreachable = r.hard ? WhenUnreachable::kReject : static_cast<WhenUnreachable>(random(3));
    r.over_limit = static_cast<OverLimitAction>(random(3));
    r.borrows = r.parent >= 0 && random(2) == 0;
    TokenRate max = r.parent < 0 ? TokenRate{1e6, 1e6} : table.quotas[r.parent].rate;
    if (max.per_second < 0.01) continue;
    r.rate = RandomRate(random, max);
    r.overrides.clear();
    std::int64_t at = Utc(2027, 3, 1, 0) + random(100'000);
    for (unsigned c = random(4); c > 0; --c) {
      RateOverride rate_override{at, at += 1 + random(3'000'000), random(4), RandomRate(random, max)};
      if (c == 1 && random(2) == 0) rate_override.to_s = INT64_MAX;
      r.overrides.push_back(rate_override);
    }
    table.quotas.push_back(r);
  }
  return table;
}

// Whether for every possible request the quotas that count it are nested in each other.
bool IsNested(const QuotaTable& table) {
  auto matches = [](const std::vector<int>& list, int value) {
    return list.empty() || std::find(list.begin(), list.end(), value) != list.end();
  };
  for (int request = 0; request < 4 * 4 * 2 * 2; ++request) {
    int tenant = request % 4 - 1, cls = request / 4 % 4, write = request / 16 % 2, repeat = request / 32;
    int last = -1;
    for (std::size_t i = 0; i < table.quotas.size(); ++i) {
      const Quota& r = table.quotas[i];
      if (!matches(r.tenants, tenant) || !matches(r.classes, cls)) continue;
      if (r.access != AccessKind::kAny && (r.access == AccessKind::kWrites) != (write == 1)) continue;
      if (r.try_kind != TryKind::kAny && (r.try_kind == TryKind::kRetry) != (repeat == 1)) continue;
      if (r.parent != last) return false;
      last = static_cast<int>(i);
    }
  }
  return true;
}

}  // namespace

TEST_CASE("a formatted table parses to an equal one, or is rejected if its quotas are not nested") {
  int accepted = 0, rejected = 0;
  for (std::uint64_t seed = 1; seed <= 4000; ++seed) {
    Random random(seed);
    QuotaTable table = RandomTable(random);
    std::string formatted = FormatQuotaConfig(table, TestSettings());
    CAPTURE(formatted);
    if (!IsNested(table)) {
      ++rejected;
      CHECK(ErrorsOf(formatted).find("may both count one request") != std::string::npos);
      continue;
    }
    ++accepted;
    REQUIRE(ErrorsOf(formatted) == "");
    QuotaTable again = Parse(formatted);
    CHECK(again.quotas == table.quotas);
    CHECK(FormatQuotaConfig(again, TestSettings()) == formatted);
    // Whitespace and comments do not matter.
    std::string other;
    for (char c : formatted)
      other += c == '\n' && random(2) == 0 ? std::string(" # so; it } is\r\n\t") : std::string(1, c);
    CHECK(Parse(other).fingerprint == again.fingerprint);
  }
  CHECK(accepted > 500);
  CHECK(rejected > 500);
}
