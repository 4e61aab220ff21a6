#include "lab/publish_watch.h"

#include <fmt/format.h>

#include <algorithm>

namespace peatbend::lab {

void PublishWatch::Asked(const Payload& payload) {
  if (payload.version > 0) ++versions_[static_cast<std::size_t>(payload.version - 1)].asked;
  if (payload.reader >= 0) ++readers_[static_cast<std::size_t>(payload.reader)].asked;
}

std::optional<PublishWatch::Breach> PublishWatch::Reached(const Payload& payload, world::Time at) {
  if (payload.version > 0) {
    auto number = static_cast<std::size_t>(payload.version - 1);
    const PublishDay::Version& version = day_.versions[number];
    ++versions_[number].reached;
    if (version.never) return Breach{true, fmt::format("version {} was refused", payload.version)};
    if (at < version.from)
      return Breach{true, fmt::format("version {} was not proposed yet", payload.version)};
    for (std::size_t i = 0; i < readers_.size(); ++i) {
      const PublishDay::Reader& reader = day_.readers[i];
      if (readers_[i].reached > 0 && std::ranges::find(version.breaks, reader.reads) != version.breaks.end())
        return Breach{false, fmt::format("version {} breaks {}, who has read", payload.version, reader.name)};
    }
  }
  if (payload.reader >= 0) {
    auto number = static_cast<std::size_t>(payload.reader);
    const PublishDay::Reader& reader = day_.readers[number];
    ++readers_[number].reached;
    for (std::size_t i = 0; i < versions_.size(); ++i) {
      const auto& breaks = day_.versions[i].breaks;
      if (versions_[i].reached > 0 && std::ranges::find(breaks, reader.reads) != breaks.end())
        return Breach{false, fmt::format("{} cannot read version {}, which was written", reader.name, i + 1)};
    }
  }
  return std::nullopt;
}

std::vector<PublishResult> PublishWatch::Results() const {
  std::vector<PublishResult> all;
  for (std::size_t i = 0; i < versions_.size(); ++i)
    all.push_back({fmt::format("version {}", i + 1), versions_[i].asked, versions_[i].reached});
  for (std::size_t i = 0; i < readers_.size(); ++i)
    all.push_back({"reader " + day_.readers[i].name, readers_[i].asked, readers_[i].reached});
  return all;
}

}  // namespace peatbend::lab
