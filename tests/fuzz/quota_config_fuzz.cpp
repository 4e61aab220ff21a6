// Fuzzes the quota configuration parser. Any text is either rejected with locations inside of it, or
// accepted, and then its canonical form parses to an equal table. Built with clang and libFuzzer
// (scripts/fuzz).
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "rations/quota_config.h"

using namespace peatbend;
using namespace peatbend::rations;

namespace {

const std::string_view kSamples[] = {
    "book reads 1\ntime zone Europe/Athens\n"
    "ration chain { counts everything; rate 4000 a second; burst 8000; soft, alone own share; }\n"
    "ration t inside chain { counts each franchisee; rate 300 a minute; burst 600; borrows; over: rank "
    "lower; }\n",
    "book reads 1 ration r { counts class page or \"thumb \\\"nail\", firsts, franchisee north, each key "
    "group of 3 "
    "characters; hard; rate 0.5 a second; burst 20.5; until 2027-03-01 00:00: rate 2 an hour, burst 1;\n"
    "from 2027-03-28 03:30 to 2027-10-31 03:30 while zone lost and origin strained: rate 9 a second, burst "
    "9; }",
    "book reads 1 time zone Asia/Gaza ration r { counts repeats, each shop; rate 5 a second; burst 20; # so\n"
    "daily from 00:00 to 24:00 between 2027-03-20 and 2027-04-03 rate 2 a second, burst 1; over count only; "
    "}",
    "book reads 2 retire reader \"n 7\" statement 3 because \"sold \\x01\"; retire reader n8 statement 0 "
    "because "
    "\"so\"; ration r { counts reads; rate 1 a second; burst 1; }"};

}  // namespace

extern "C" std::size_t LLVMFuzzerMutate(std::uint8_t* data, std::size_t size, std::size_t most);

extern "C" std::size_t LLVMFuzzerCustomMutator(std::uint8_t* data, std::size_t size, std::size_t most,
                                               unsigned seed) {
  if (seed % 16 == 0) {
    std::string_view sample = kSamples[seed / 16 % std::size(kSamples)];
    size = std::min(sample.size(), most);
    std::copy_n(sample.begin(), size, data);
  }
  return LLVMFuzzerMutate(data, size, most);
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static const Settings settings = [] {
    Settings s;
    for (const char* name : {"page", "thumb \"nail", "\xce\xb1\n"}) s.classes.emplace_back().name = name;
    for (const char* name : {"north", "south"}) s.tenants.emplace_back().name = name;
    return s;
  }();
  std::string_view text(reinterpret_cast<const char*>(data), size);
  QuotaTable table;
  try {
    table = ParseQuotaConfig(text, settings, "b");
  } catch (const InvalidQuotaConfig& invalid) {
    auto lines = std::count(text.begin(), text.end(), '\n') + 1;
    if (invalid.errors().empty() || invalid.errors().size() > kMaxQuotaConfigErrors) std::abort();
    for (const QuotaConfigError& error : invalid.errors()) {
      if (error.line < 1 || error.line > lines || error.column < 1 || error.message.empty()) std::abort();
    }
    return 0;
  }
  std::string formatted = FormatQuotaConfig(table, settings);
  QuotaTable again = ParseQuotaConfig(formatted, settings, "b");  // an exception is a finding
  if (again.quotas != table.quotas || again.retired_readers != table.retired_readers ||
      again.fingerprint != table.fingerprint || table.fingerprint == 0)
    std::abort();
  if (FormatQuotaConfig(again, settings) != formatted) std::abort();
  return 0;
}
