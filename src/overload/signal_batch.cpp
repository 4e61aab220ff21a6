#include "overload/signal_batch.h"

#include "overload/load_signal.h"

namespace peatbend::overload {

std::string Encode(const SignalBatch& batch) {
  std::string bytes{kBatchMarker, batch.aggregated ? '\1' : '\0'};
  for (const std::string& signal : batch.signals) {
    bytes.push_back(static_cast<char>(signal.size() & 0xff));
    bytes.push_back(static_cast<char>(signal.size() >> 8));
    bytes += signal;
  }
  return bytes;
}

bool Decode(std::string_view bytes, SignalBatch& batch) {
  batch = {};
  if (bytes.size() <= kBatchOverhead || bytes[0] != kBatchMarker || (bytes[1] & ~1) != 0) return false;
  batch.aggregated = bytes[1] == 1;
  bytes.remove_prefix(kBatchOverhead);
  while (!bytes.empty()) {
    if (bytes.size() < kSignalOverhead || batch.signals.size() >= kMaxBatchSignals) return false;
    auto byte = [&](std::size_t at) {
      return static_cast<std::size_t>(static_cast<unsigned char>(bytes[at]));
    };
    std::size_t size = byte(0) | byte(1) << 8;
    bytes.remove_prefix(kSignalOverhead);
    if (size == 0 || size > kMaxSignalBytes || size > bytes.size()) return false;
    batch.signals.emplace_back(bytes.substr(0, size));
    bytes.remove_prefix(size);
  }
  return batch.aggregated || batch.signals.size() == 1;
}

}  // namespace peatbend::overload
