#include "overload/sign.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/msgpack_fields.h"

namespace peatbend::overload {
namespace {

using net::kUnbounded;
using nlohmann::json;

constexpr int kDeepest = 4;                      // sign, tenants or trials, one
constexpr std::uint64_t kMostWork = 1ull << 48;  // us: nine years
constexpr std::uint64_t kMostSpan = 3'600'000;
constexpr std::size_t kMarks = kBins / 8;

}  // namespace

std::string Encode(const Sign& sign) {
  std::string bins(kMarks, '\0');  // which are not 0, a bit each; then those
  for (std::size_t i = 0; i < kBins; ++i) {
    if (sign.came[i] == 0) continue;
    bins[i / 8] = static_cast<char>(bins[i / 8] | 1 << i % 8);
    bins.push_back(static_cast<char>(sign.came[i] & 0xff));
    bins.push_back(static_cast<char>(sign.came[i] >> 8));
  }
  json tenants = json::array(), trials = json::array();
  for (std::size_t i = 0; i < std::min(kMostTenants, sign.tenants.size()); ++i)
    tenants.push_back(json::array({sign.tenants[i].tenant, sign.tenants[i].work}));
  for (std::size_t i = 0; i < std::min(kMostTrials, sign.trials.size()); ++i) {
    const TrialNews& news = sign.trials[i];
    trials.push_back(json::array({news.member, news.epoch, static_cast<unsigned>(news.step)}));
  }
  std::string bytes;
  json::to_msgpack(json::array({sign.process, sign.window, sign.span_ms, net::Blob(bins), sign.shift,
                                sign.served, sign.late, sign.full, sign.delay_us, sign.headroom,
                                std::move(tenants), std::move(trials)}),
                   bytes);
  return bytes;
}

bool Decode(std::string_view bytes, Sign& sign) {
  sign = {};
  if (bytes.size() > kMostSign) return false;
  json array = net::Unpack(bytes, kDeepest);
  if (!array.is_array() || array.size() != 12) return false;
  net::FieldReader fields(array);
  std::string bins;
  fields.Number(sign.process, kUnbounded)
      .Number(sign.window, kUnbounded >> 1)
      .Number(sign.span_ms, kMostSpan);
  fields.Blob(bins, kMarks + 2 * kBins)
      .Number(sign.shift, 32)
      .Number(sign.served, kMostWork)
      .Number(sign.late, kMostWork);
  fields.Number(sign.full, kMostWork).Number(sign.delay_us, 0xffffffffu).Number(sign.headroom, 0xffff);
  const json* tenants = fields.Next();
  const json* trials = fields.Next();
  if (!fields.ok() || bins.size() < kMarks || sign.window == 0 || sign.span_ms == 0) return false;
  if (!tenants->is_array() || tenants->size() > kMostTenants) return false;
  if (!trials->is_array() || trials->size() > kMostTrials) return false;
  auto byte = [&](std::size_t at) { return static_cast<unsigned>(static_cast<unsigned char>(bins[at])); };
  std::size_t next = kMarks;
  for (std::size_t i = 0; i < kBins; ++i) {
    if ((byte(i / 8) >> i % 8 & 1) == 0) continue;
    if (next + 2 > bins.size()) return false;
    sign.came[i] = static_cast<std::uint16_t>(byte(next) | byte(next + 1) << 8);
    next += 2;
  }
  if (next != bins.size()) return false;
  for (const json& one : *tenants) {
    TenantWork& tenant = sign.tenants.emplace_back();
    if (!net::FieldReader(one).Number(tenant.tenant, 0xffff).Number(tenant.work, 0xffffffffu).ok())
      return false;
  }
  for (const json& one : *trials) {
    TrialNews& news = sign.trials.emplace_back();
    net::FieldReader of(one);
    of.Number(news.member, 0xffffffffu).Number(news.epoch, 0xffffffffu);
    if (!of.Number(news.step, static_cast<std::uint64_t>(TrialStep::kPassed)).ok()) return false;
  }
  return true;
}

}  // namespace peatbend::overload
