// Encoding of load signals between routers: one router's signal, sent to the aggregator, or the signals that
// the aggregator has received, sent to each router. The first byte tells batches from other messages on the
// wire: it starts no MessagePack array and is not 0xc1.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace peatbend::overload {

constexpr char kBatchMarker = 0x02;  // a positive fixint of MessagePack
constexpr std::size_t kMaxBatchSignals = 4096;

struct SignalBatch {
  bool aggregated = false;           // true: from the aggregator; false: the sender's own signal
  std::vector<std::string> signals;  // each encoded by Encode(LoadSignal)
  bool operator==(const SignalBatch&) const = default;
};

// Requires 1 to kMaxSignalBytes bytes for each signal, and at most kMaxBatchSignals signals.
std::string Encode(const SignalBatch& batch);
// Decodes untrusted input. Returns false, with `batch` unspecified, if the bytes are not a complete batch.
// Does not decode the signals.
bool Decode(std::string_view bytes, SignalBatch& batch);
// Encoding overhead in bytes, of each signal and of the batch.
constexpr std::size_t kSignalOverhead = 2, kBatchOverhead = 2;

}  // namespace peatbend::overload
