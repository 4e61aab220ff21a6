// A router's part in the rollout of quota configurations to the fleet: it registers as one of their readers,
// proposes its own, and fetches the text of the one that was accepted. The registry decides which is
// accepted: subject "rations", by the versions of the quota language that each reader understands. Free of
// I/O and clocks; one owner, one thread.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "compat/registry_client.h"
#include "compat/wire.h"
#include "failover/record.h"
#include "rations/quota_table.h"

namespace peatbend::compat {

class ConfigRollout {
 public:
  using Table = std::shared_ptr<const rations::QuotaTable>;
  struct Config {
    std::string text;
    Table table;
  };
  struct Callbacks {
    // The table of a text under this router's settings; null on an error, which is stored in `error`.
    std::function<Table(const std::string& text, std::string& error)> parse;
    std::function<void(Table)> activate;
    std::function<void(const std::string& text)> log;
    std::function<void(const std::string& router, const Message& message)> send;
    std::function<std::vector<std::string>()> others;  // routers that seem to be alive
  };
  // `max_language`: the highest version of the quota language that this router understands; it understands
  // those before too. `initial` is active until another is agreed on. `registry` outlives this.
  ConfigRollout(std::string self, int max_language, Config initial, std::uint64_t random,
                RegistryClient& registry, Callbacks callbacks);

  // An operator's command: this configuration is to become active.
  void Propose(Config config);
  void Handle(failover::TimePoint now, const std::string& from, const Message& message);
  // To be called after each change of the registry's known state, and when it is due.
  void Step(failover::TimePoint now);
  failover::TimePoint Due() const { return wanted_ != 0 ? std::min(due_, fetch_at_) : due_; }

  std::uint32_t accepted_version() const;                           // the last accepted version; 0: none
  std::uint32_t active_version() const { return active_version_; }  // here; 0: one that was not agreed on
  const std::string& rejection() const { return rejection_; }       // of the last proposal; empty: accepted

 private:
  enum class ReaderPhase { kUnregistered, kPending, kRegistered, kRejected };
  const Subject* subject() const;
  const ReaderState* ReaderStateOf(const std::string& reader) const;
  void Register();
  void OnRegistered(const UpdateResult& result);
  void ProposeNext();
  void OnProposalRejected(const std::string& what, std::uint64_t fingerprint, const UpdateResult& result);
  void ActivateAccepted(failover::TimePoint now);
  void Fetch(failover::TimePoint now);
  void OnTextComplete(failover::TimePoint now, const std::string& from);
  const Config* FindRecent(std::uint64_t fingerprint) const;
  void AddRecent(Config config);

  static constexpr std::size_t kMaxRecent = 4;  // configurations kept
  std::string self_;
  int max_language_;
  std::mt19937_64 random_;
  RegistryClient& registry_;
  Callbacks callbacks_;

  ReaderPhase reader_phase_ = ReaderPhase::kUnregistered;
  std::uint64_t registration_ = 0;
  std::uint32_t rejected_at_version_ = 0;  // accepted versions when this router was rejected as a reader

  std::deque<Config> recent_;  // the newest first
  std::optional<Config> to_propose_;
  std::uint64_t last_read_;                 // fingerprint of the file as it was read last
  std::uint64_t rejected_fingerprint_ = 0;  // of the configuration that was rejected last
  bool at_start_ = true, proposing_ = false;
  std::uint32_t based_on_version_ = 0;  // accepted versions that were known when the operator proposed
  std::string rejection_;

  std::uint64_t active_;                                       // fingerprint of the active table
  std::uint32_t active_version_ = 0, unreadable_version_ = 0;  // active here; in a language unknown here
  std::uint64_t wanted_ = 0;      // fingerprint of the text that is being fetched
  std::string fetched_, source_;  // its bytes so far; from that router
  std::size_t lacking_ = 0;       // routers that have answered in succession that they lack the text
  failover::TimePoint due_{}, fetch_at_{};
};

}  // namespace peatbend::compat
