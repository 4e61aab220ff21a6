// A router's membership in its fleet, run by the event loop. Not constructed if the configuration has no
// [peers] address.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/log.h"
#include "base/tuning.h"
#include "config/config.h"
#include "peers/membership.h"
#include "peers/peer_sockets.h"

namespace peatbend::peers {

class Peers {
 public:
  struct Self {
    std::string name, zone, version, client_address;
  };
  // If the address cannot be bound, logs the error and retries; serving clients does not depend on it.
  Peers(event_base* base, const Config::Peers& config, const net::Tuning::Peers& times, Self self,
        std::uint64_t random, net::Log& log);

  // Application messages between the same service of two routers. Each service has a channel; the first byte
  // of the payload identifies it.
  enum class Channel : std::uint8_t { kWork, kRations, kOverload, kPublications };
  static constexpr std::size_t kChannels = 4;
  using MessageHandler = std::function<void(const std::string& from, const std::string& bytes)>;
  void OnApplicationMessage(Channel channel, MessageHandler handler) {
    handlers_[static_cast<std::size_t>(channel)] = std::move(handler);
  }
  // Sends an application message, which may be lost, duplicated or delayed. Returns false if the router is
  // unknown, the payload is too large or this process has no address yet.
  bool Send(const std::string& to, std::string bytes);
  // Whether the router is present in this process's view; true for this process itself.
  bool IsPresent(const std::string& name) const;
  // The other routers that are present in this process's view.
  std::vector<std::string> PresentRouters() const;
  // Whether all known routers of the zone are gone; false if none is known.
  bool IsZoneGone(const std::string& zone) const;
  // Whether that generation of the router has ended; false if the router is unknown.
  bool IsGone(const std::string& name, std::uint64_t generation) const;
  // Generation of this process, higher than any that the fleet knows for its name; 0 before it is a member.
  std::uint64_t generation() const;
  static TimePoint Now();

  void Leave();  // announces the departure, and repeats it until this object is destroyed
  SelfStatus status() const;
  void SetMetadata(std::string metadata);
  // Metric names (without a prefix) and values.
  std::vector<std::pair<std::string, std::uint64_t>> Figures() const;
  // This process and all known members as one JSON object.
  std::string ToJson() const;

 private:
  void Open();
  // Calls `action`, sends the messages that it adds and schedules the next step.
  void Run(const std::function<void(TimePoint, std::vector<Outgoing>&)>& action);
  void OnMemberChanged(const Record* before, const Record& now);

  event_base* base_;
  Config::Peers config_;
  Options options_;
  Self self_;
  std::uint64_t random_;
  net::Log& log_;
  std::unique_ptr<PeerSockets> sockets_;
  std::optional<Membership> membership_;
  std::array<MessageHandler, kChannels> handlers_;
  std::uint64_t dropped_[5] = {};
  net::Timer step_;
};

}  // namespace peatbend::peers
