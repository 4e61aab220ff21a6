#include "router/publication_office.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/nonce.h"
#include "compat/wire.h"
#include "rations/quota_config.h"

namespace peatbend::net {
namespace {

constexpr std::chrono::milliseconds kFolderRetry{200};  // where another process still has the folder
constexpr std::chrono::milliseconds kLifeAgain{50};     // until this one is a member of its fleet

}  // namespace

PublicationOffice::PublicationOffice(event_base* base, const Config& config, peers::Peers& peers, Log& log)
    : peers_(&peers),
      log_(log),
      self_(config.name),
      folder_(config.publications.folder),
      found_(config.publications.found),
      seats_(failover::ReplicaSet::Parse(config.publications.seats)),
      bureau_({}, seats_, self_, peers.generation(), GenerateNonce(), peers::Peers::Now(),
              [this] { return peers_ != nullptr ? peers_->PresentRouters() : std::vector<std::string>(); }),
      tick_(base, [this] { Tick(); }) {
  peers_->OnApplicationMessage(
      peers::Peers::Channel::kPublications,
      [this](const std::string& from, const std::string& bytes) { Arrived(from, bytes); });
  Open();
  Tick();
}

PublicationOffice::~PublicationOffice() { Hush(); }

void PublicationOffice::Hush() {
  if (peers_ != nullptr) peers_->OnApplicationMessage(peers::Peers::Channel::kPublications, {});
  peers_ = nullptr;
  store_.reset();
  tick_.Stop();
}

// Takes the seat, with what its folder remembers, once the folder can be had.
void PublicationOffice::Open() {
  if (opened_) return;
  failover::TimePoint now = peers::Peers::Now();
  bool seat = std::ranges::any_of(seats_.all(), [this](const auto& one) { return one.router == self_; });
  if (folder_.empty() || !seat) {
    opened_ = true;
    bureau_.StartReplica(now, std::nullopt);
    // A start cannot tell whether it is the first: see Reload.
    if (found_ && seat)
      log_.Line("publications",
                "publications.found at a start without a folder founds nothing: set it, then SIGHUP");
    return;
  }
  try {
    store_ = std::make_unique<compat::RecordFile>(folder_);
  } catch (const std::runtime_error& error) {
    return log_.Line("publications", fmt::format("no seat yet, tries again: {}", error.what()));
  }
  opened_ = true;
  try {
    std::optional<compat::ReplicaState> memory;
    if (auto record = store_->Read()) {
      memory = compat::ReplicaState::Parse(*record);
      if (!memory)
        throw compat::RecordFileCorrupted(
            folder_ + "/register: of another form; start the release that wrote it, or move it away");
    }
    bureau_.StartReplica(now, memory);
    if (found_) bureau_.Bootstrap(now);
  } catch (const compat::RecordFileCorrupted& damaged) {
    store_.reset();
    log_.Line("publications", fmt::format("no seat: {}", damaged.what()));
  }
}

void PublicationOffice::Submit(std::string label, compat::RegistryUpdate::Command command,
                               std::function<void(const compat::UpdateResult&)> then) {
  bureau_.Submit(peers::Peers::Now(), std::move(label), std::move(command), std::move(then));
  if (!flushing_ && peers_ != nullptr) tick_.Activate();
}

void PublicationOffice::Found(bool found) {
  if (peers_ == nullptr) return;
  if (found && !found_) bureau_.Bootstrap(peers::Peers::Now());
  found_ = found;
  tick_.Activate();
}

void PublicationOffice::Propose(const Config& config) {
  if (peers_ == nullptr || !librarian_) return;
  librarian_->Propose({config.rations.text, config.rations.table});
  tick_.Activate();
}

// ---- Books ------------------------------------------------------------------------------------------------

std::shared_ptr<const rations::QuotaTable> PublicationOffice::ReadBook(const std::string& text,
                                                                       std::string& why) const {
  try {
    return std::make_shared<const rations::QuotaTable>(
        rations::ParseQuotaConfig(text, settings_, "book", reads_));
  } catch (const rations::InvalidQuotaConfig& refused) {
    why = refused.what();
    return nullptr;
  }
}

void PublicationOffice::AgreeBooks(const Config& config, Hold hold) {
  settings_ = config.settings;
  reads_ = config.rations.reads;
  compat::ConfigRollout::Callbacks calls;
  calls.parse = [this](const std::string& text, std::string& why) { return ReadBook(text, why); };
  calls.activate = std::move(hold);
  calls.log = [this](const std::string& text) { log_.Line("rations", text); };
  calls.send = [this](const std::string& to, const compat::Message& say) { Carry(to, say); };
  calls.others = [this] { return peers_ != nullptr ? peers_->PresentRouters() : std::vector<std::string>(); };
  librarian_.emplace(self_, reads_, compat::ConfigRollout::Config{config.rations.text, config.rations.table},
                     GenerateNonce(), *this, std::move(calls));
  tick_.Activate();
}

// ---- Messages and time ------------------------------------------------------------------------------------

void PublicationOffice::Arrived(const std::string& from, const std::string& bytes) {
  compat::Message say;
  compat::DecodeError error = compat::Decode(bytes, seats_.fingerprint(), say);
  if (error != compat::DecodeError::kNone) {
    ++dropped_;
    return log_.Line("publications dropped", fmt::format("what {} says {}", from, Text(error)));
  }
  failover::TimePoint now = peers::Peers::Now();
  bool of_book =
      say.kind == compat::MessageKind::kConfigRequest || say.kind == compat::MessageKind::kConfigChunk;
  if (!of_book) {
    bureau_.Handle(now, from, say);
  } else if (librarian_) {
    librarian_->Handle(now, from, say);
  }
  Flush();
}

void PublicationOffice::Tick() {
  if (peers_ == nullptr) return;
  Open();
  bureau_.SetGeneration(peers_->generation());
  bureau_.Tick(peers::Peers::Now());
  Flush();
}

void PublicationOffice::Carry(const std::string& to, const compat::Message& say) {
  std::string bytes = compat::Encode(seats_.fingerprint(), say);
  ++sent_;
  bytes_ += bytes.size();
  if (peers_ == nullptr || !peers_->Send(to, std::move(bytes))) ++unreached_;
}

// Whether what the seat must not forget is kept, where it is to be.
bool PublicationOffice::Save() {
  if (!bureau_.unsaved()) return true;
  if (store_ != nullptr && !store_->Write(bureau_.replica_state().Serialize())) {
    ++not_saved_;
    log_.Line("publications", "the seat answers nothing, since it cannot be kept: " + store_->error());
    return false;
  }
  if (store_ != nullptr) ++saved_;
  bureau_.MarkSaved();
  return true;
}

// Sends what there is, and hands on what is for this router itself. Nothing leaves before it is kept.
void PublicationOffice::Flush() {
  if (peers_ == nullptr || std::exchange(flushing_, true)) return;
  failover::TimePoint now = peers::Peers::Now();
  for (bool more = true; more;) {
    more = false;
    bool kept = Save();
    for (compat::RegistryNode::Outgoing& out : bureau_.DrainOutgoing()) {
      if (!kept) continue;  // as if it had been lost on the way
      if (out.router != self_) {
        Carry(out.router, out.message);
        continue;
      }
      bureau_.Handle(now, self_, out.message);
      more = true;
    }
    for (compat::RegistryNode::Completed& told : bureau_.DrainCompleted()) {
      if (!told.label.empty())
        log_.Line(
            "publications",
            fmt::format("{}: {}", told.label,
                        told.result.ok() ? "stands" : "refused: " + told.result.incompatibilities[0].Text()));
      told.callback(told.result);
      more = true;
    }
    if (librarian_ && (heard_ != revision() || now >= librarian_->Due())) {
      heard_ = revision();
      librarian_->Step(now);
      more = true;
    }
  }
  if (bureau_.bootstrap_rejected() && !std::exchange(told_barred_, true))
    log_.Line("publications", "not founded again: another seat knows this one from before");
  if (bureau_.votes(now) && !std::exchange(told_votes_, true)) log_.Line("publications", "the seat votes");
  failover::TimePoint due = bureau_.Due();
  if (librarian_) due = std::min(due, librarian_->Due());
  failover::Duration in = std::max(due - now, failover::Duration{});
  if (peers_->generation() == 0) in = std::min<failover::Duration>(in, kLifeAgain);
  if (!opened_) in = std::min<failover::Duration>(in, kFolderRetry);
  tick_.Set(in);
  flushing_ = false;
}

std::vector<std::pair<std::string, std::uint64_t>> PublicationOffice::Figures() const {
  const compat::RegistryNode::Metrics& f = bureau_.metrics();
  std::vector<std::pair<std::string, std::uint64_t>> all = {
      {"news", bureau_.revision()},
      {"subjects", bureau_.known().subjects().size()},
      {"seated", bureau_.is_replica() ? 1u : 0u},
      {"votes", bureau_.votes(peers::Peers::Now()) ? 1u : 0u},
      {"waiting", bureau_.queued()},
      {"changes", f.updates},
      {"refused", f.rejected},
      {"goes", f.ballots},
      {"outrun", f.conflicts},
      {"fetched", f.states_requested},
      {"words", f.sync_requests},
      {"saved", saved_},
      {"not_saved", not_saved_},
      {"sent", sent_},
      {"bytes_sent", bytes_},
      {"unreached", unreached_},
      {"dropped", dropped_}};
  if (librarian_) {
    all.emplace_back("book_accepted", librarian_->accepted_version());
    all.emplace_back("book_holds", librarian_->active_version());
  }
  return all;
}

}  // namespace peatbend::net
