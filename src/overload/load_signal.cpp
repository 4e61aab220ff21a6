#include "overload/load_signal.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/msgpack_fields.h"

namespace peatbend::overload {
namespace {

using net::kUnbounded;
using nlohmann::json;

constexpr int kMaxDepth = 4;                    // signal, tenants or trials, item
constexpr std::uint64_t kMaxWork = 1ull << 48;  // us, nine years
constexpr std::uint64_t kMaxDurationMs = 3'600'000;
constexpr std::size_t kBitmapBytes = kPriorityBins / 8;

}  // namespace

std::string Encode(const LoadSignal& signal) {
  std::string bins(kBitmapBytes, '\0');  // bitmap of the nonzero bins, followed by their values
  for (std::size_t i = 0; i < kPriorityBins; ++i) {
    if (signal.arrived[i] == 0) continue;
    bins[i / 8] = static_cast<char>(bins[i / 8] | 1 << i % 8);
    bins.push_back(static_cast<char>(signal.arrived[i] & 0xff));
    bins.push_back(static_cast<char>(signal.arrived[i] >> 8));
  }
  json tenants = json::array(), trials = json::array();
  for (std::size_t i = 0; i < std::min(kMaxTenants, signal.tenants.size()); ++i)
    tenants.push_back(json::array({signal.tenants[i].tenant, signal.tenants[i].work}));
  for (std::size_t i = 0; i < std::min(kMaxTrials, signal.trials.size()); ++i) {
    const TrialUpdate& update = signal.trials[i];
    trials.push_back(json::array({update.member, update.epoch, static_cast<unsigned>(update.step)}));
  }
  std::string bytes;
  json::to_msgpack(
      json::array({signal.process, signal.window, signal.duration_ms, net::Blob(bins), signal.shift,
                   signal.served, signal.late, signal.no_room, signal.queue_delay_us, signal.headroom,
                   std::move(tenants), std::move(trials)}),
      bytes);
  return bytes;
}

bool Decode(std::string_view bytes, LoadSignal& signal) {
  signal = {};
  if (bytes.size() > kMaxSignalBytes) return false;
  json array = net::Unpack(bytes, kMaxDepth);
  if (!array.is_array() || array.size() != 12) return false;
  net::FieldReader fields(array);
  std::string bins;
  fields.Number(signal.process, kUnbounded)
      .Number(signal.window, kUnbounded >> 1)
      .Number(signal.duration_ms, kMaxDurationMs);
  fields.Blob(bins, kBitmapBytes + 2 * kPriorityBins)
      .Number(signal.shift, 32)
      .Number(signal.served, kMaxWork)
      .Number(signal.late, kMaxWork);
  fields.Number(signal.no_room, kMaxWork)
      .Number(signal.queue_delay_us, 0xffffffffu)
      .Number(signal.headroom, 0xffff);
  const json* tenants = fields.Next();
  const json* trials = fields.Next();
  if (!fields.ok() || bins.size() < kBitmapBytes || signal.window == 0 || signal.duration_ms == 0)
    return false;
  if (!tenants->is_array() || tenants->size() > kMaxTenants) return false;
  if (!trials->is_array() || trials->size() > kMaxTrials) return false;
  auto byte = [&](std::size_t at) { return static_cast<unsigned>(static_cast<unsigned char>(bins[at])); };
  std::size_t next = kBitmapBytes;
  for (std::size_t i = 0; i < kPriorityBins; ++i) {
    if ((byte(i / 8) >> i % 8 & 1) == 0) continue;
    if (next + 2 > bins.size()) return false;
    signal.arrived[i] = static_cast<std::uint16_t>(byte(next) | byte(next + 1) << 8);
    next += 2;
  }
  if (next != bins.size()) return false;
  for (const json& item : *tenants) {
    TenantWork& tenant = signal.tenants.emplace_back();
    if (!net::FieldReader(item).Number(tenant.tenant, 0xffff).Number(tenant.work, 0xffffffffu).ok())
      return false;
  }
  for (const json& item : *trials) {
    TrialUpdate& update = signal.trials.emplace_back();
    net::FieldReader fields_of_trial(item);
    fields_of_trial.Number(update.member, 0xffffffffu).Number(update.epoch, 0xffffffffu);
    if (!fields_of_trial.Number(update.step, static_cast<std::uint64_t>(TrialStep::kPassed)).ok())
      return false;
  }
  return true;
}

}  // namespace peatbend::overload
