// A router's part in what is published: its bureau, driven by the loop, the folder of its seat, and the way
// to the others by its peers. Switched off it is not made at all.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/event_handles.h"
#include "base/log.h"
#include "compat/config_rollout.h"
#include "compat/record_file.h"
#include "compat/registry_client.h"
#include "compat/registry_node.h"
#include "config/config.h"
#include "peers/peers.h"

namespace peatbend::net {

class PublicationOffice : public compat::RegistryClient {
 public:
  using Hold = std::function<void(std::shared_ptr<const rations::QuotaTable>)>;

  // Speaks through `peers`, which lives until Hush or the end of this.
  PublicationOffice(event_base* base, const Config& config, peers::Peers& peers, Log& log);
  ~PublicationOffice() override;

  const compat::RegistryState& known() const override { return bureau_.known(); }
  std::uint64_t revision() const override { return bureau_.revision(); }
  void Submit(std::string label, compat::RegistryUpdate::Command command,
              std::function<void(const compat::UpdateResult&)> then) override;

  // Books of rations are agreed from now on: that of `config` is the first to be proposed; `hold` is told
  // which is in force.
  void AgreeBooks(const Config& config, Hold hold);
  // An operator's word: the book of `config` is to be in force.
  void Propose(const Config& config);
  // An operator's word as the file has it now; it counts where it was not said before.
  void Found(bool found);
  // Nobody can be reached from now on, and the folder is another process's: what is known stays.
  void Hush();

  // The program's figures of it, names without a prefix.
  std::vector<std::pair<std::string, std::uint64_t>> Figures() const;
  // Why the last book was refused; empty: none was since one was accepted.
  std::string Refused() const { return librarian_ ? librarian_->rejection() : ""; }

 private:
  void Open();
  void Arrived(const std::string& from, const std::string& bytes);
  void Tick();
  void Flush();
  void Carry(const std::string& to, const compat::Message& say);
  bool Save();
  std::shared_ptr<const rations::QuotaTable> ReadBook(const std::string& text, std::string& why) const;

  peers::Peers* peers_;  // null: hushed
  Log& log_;
  std::string self_, folder_;
  Settings settings_;
  int reads_ = 0;
  bool found_, opened_ = false, told_barred_ = false, told_votes_ = false;
  failover::ReplicaSet seats_;
  compat::RegistryNode bureau_;
  std::unique_ptr<compat::RecordFile> store_;
  std::optional<compat::ConfigRollout> librarian_;
  std::uint64_t heard_ = 0;  // revision that librarian_ has seen
  bool flushing_ = false;
  std::uint64_t sent_ = 0, bytes_ = 0, unreached_ = 0, dropped_ = 0, saved_ = 0, not_saved_ = 0;
  Timer tick_;
};

}  // namespace peatbend::net
