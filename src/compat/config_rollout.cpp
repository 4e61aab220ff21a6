#include "compat/config_rollout.h"

#include <fmt/format.h>

#include <algorithm>

#include "rations/quota_config.h"

namespace peatbend::compat {

using failover::Duration;
using failover::TimePoint;

namespace {

constexpr const char* kSubject = "rations";
constexpr Policy kPolicy{VersionKind::kLanguages, CompatibilityMode::kForward, CheckedAgainst::kLast};
constexpr std::size_t kChunkBytes = 256u << 10;          // of a text in one message
constexpr std::chrono::milliseconds kFetchTimeout{300};  // until the next router is asked for the text
constexpr std::chrono::milliseconds kFetchRetry{2000};   // after a text that could not be used

UpdateResult EnsureDeclared(RegistryState& it) {
  return it.subjects().contains(kSubject) ? UpdateResult{} : it.Declare(kSubject, kPolicy);
}

// Proposes the configuration and retires the readers that it names: all or nothing.
UpdateResult Publish(RegistryState& it, std::uint32_t version, const rations::QuotaTable& table,
                     const std::string& by) {
  RegistryState next = it;
  UpdateResult result = EnsureDeclared(next);
  if (!result.ok()) return result;
  const Version proposed{"", static_cast<std::uint32_t>(table.language_version), table.fingerprint};
  const auto& versions = next.subjects().at(kSubject).versions;
  if (versions.size() >= version && versions[version - 1] == proposed)
    return {};  // accepted before; a reader that it retired may have registered again
  for (const rations::RetiredReader& one : table.retired_readers)
    if (result.ok()) result = next.Retire(kSubject, one.reader, one.statement, "a book of " + by, one.reason);
  if (result.ok())
    result = next.Propose(kSubject, version, static_cast<std::uint32_t>(table.language_version),
                          table.fingerprint);
  if (result.ok()) it = std::move(next);
  return result;
}

}  // namespace

ConfigRollout::ConfigRollout(std::string self, int max_language, Config initial, std::uint64_t random,
                             RegistryClient& registry, Callbacks callbacks)
    : self_(std::move(self)),
      max_language_(max_language),
      random_(random),
      registry_(registry),
      callbacks_(std::move(callbacks)),
      to_propose_(initial),
      last_read_(initial.table->fingerprint),
      active_(initial.table->fingerprint) {
  AddRecent(std::move(initial));
}

const Subject* ConfigRollout::subject() const {
  auto at = registry_.known().subjects().find(kSubject);
  return at == registry_.known().subjects().end() ? nullptr : &at->second;
}

std::uint32_t ConfigRollout::accepted_version() const {
  return subject() == nullptr ? 0 : static_cast<std::uint32_t>(subject()->versions.size());
}

const ReaderState* ConfigRollout::ReaderStateOf(const std::string& reader) const {
  if (subject() == nullptr) return nullptr;
  auto at = subject()->readers.find(reader);
  return at == subject()->readers.end() ? nullptr : &at->second;
}

const ConfigRollout::Config* ConfigRollout::FindRecent(std::uint64_t fingerprint) const {
  auto at = std::ranges::find_if(
      recent_, [fingerprint](const Config& one) { return one.table->fingerprint == fingerprint; });
  return at == recent_.end() ? nullptr : &*at;
}

void ConfigRollout::AddRecent(Config config) {
  std::erase_if(recent_,
                [&](const Config& one) { return one.table->fingerprint == config.table->fingerprint; });
  recent_.push_front(std::move(config));
  if (recent_.size() <= kMaxRecent) return;
  auto oldest = recent_.back().table->fingerprint == active_ ? recent_.end() - 2 : recent_.end() - 1;
  recent_.erase(oldest);
}

void ConfigRollout::Propose(Config config) {
  std::uint64_t fingerprint = config.table->fingerprint;
  // An unchanged file is not proposed again, unless it was rejected.
  if (std::exchange(last_read_, fingerprint) == fingerprint && rejected_fingerprint_ != fingerprint) return;
  AddRecent(config);
  to_propose_ = std::move(config);
  at_start_ = false;
  based_on_version_ = accepted_version();
  due_ = {};
}

// ---- Reader -----------------------------------------------------------------------------------------------

void ConfigRollout::Register() {
  std::set<std::uint32_t> languages;
  for (int language = 1; language <= max_language_; ++language)
    languages.insert(static_cast<std::uint32_t>(language));
  if (registration_ == 0) {
    // An equal registration may be repeated under its number; a different one needs a higher number.
    const ReaderState* state = ReaderStateOf(self_);
    bool same = state != nullptr && state->status != ReaderStatus::kRetired && state->versions == languages;
    registration_ = state == nullptr ? 1 : state->registration + (same ? 0 : 1);
  }
  reader_phase_ = ReaderPhase::kPending;
  registry_.Submit(
      "",
      [self = self_, registration = registration_, languages](RegistryState& it) {
        UpdateResult result = EnsureDeclared(it);
        return result.ok() ? it.RegisterReader(kSubject, self, registration, languages) : result;
      },
      [this](const UpdateResult& result) { OnRegistered(result); });
}

void ConfigRollout::OnRegistered(const UpdateResult& result) {
  due_ = {};
  if (result.ok()) {
    reader_phase_ = ReaderPhase::kRegistered;
    return;
  }
  const Incompatibility& first = result.incompatibilities[0];
  if (first.rule == "statement" || first.rule == "reader") {
    const ReaderState* state = ReaderStateOf(self_);
    if (state != nullptr && state->registration >= registration_) {
      registration_ = state->registration + 1;
      reader_phase_ = ReaderPhase::kUnregistered;
      return;
    }
  }
  reader_phase_ = ReaderPhase::kRejected;
  rejected_at_version_ = accepted_version();
  callbacks_.log("this router is rejected as a reader of the fleet's quota configurations: " + first.Text());
}

// ---- Publisher --------------------------------------------------------------------------------------------

void ConfigRollout::OnProposalRejected(const std::string& what, std::uint64_t fingerprint,
                                       const UpdateResult& result) {
  rejected_fingerprint_ = fingerprint;
  rejection_ = what + " rejected";
  for (const Incompatibility& one : result.incompatibilities) {
    rejection_ += ": " + one.Text();
    for (const std::string& name : one.readers) {
      if (const ReaderState* state = ReaderStateOf(name); state != nullptr)
        rejection_ += fmt::format("; {}: statement {}, {}", name, state->registration,
                                  kReaderStatusNames[static_cast<int>(state->status)]);
    }
  }
  callbacks_.log(rejection_ + "; the former one stays active");
}

void ConfigRollout::ProposeNext() {
  if (!to_propose_ || proposing_ || registry_.revision() == 0) return;
  if (reader_phase_ != ReaderPhase::kRegistered && reader_phase_ != ReaderPhase::kRejected) return;
  Config config = *to_propose_;
  std::uint64_t fingerprint = config.table->fingerprint;
  const Subject* known = subject();
  bool latest =
      known != nullptr && !known->versions.empty() && known->versions.back().fingerprint == fingerprint;
  // A file at the start whose configuration was since replaced by another router is not a request to revert.
  bool former = at_start_ && known != nullptr &&
                std::ranges::any_of(known->versions, [fingerprint](const Version& one) {
                  return one.fingerprint == fingerprint;
                });
  if (latest || former) {
    to_propose_.reset();
    if (former && !latest)
      callbacks_.log(fmt::format("quota configuration {:016x} of the file was active before; not proposed",
                                 fingerprint));
    return;
  }
  proposing_ = true;
  std::uint32_t version = (at_start_ ? accepted_version() : based_on_version_) + 1;
  registry_.Submit(
      "",
      [version, table = config.table, by = self_](RegistryState& it) {
        return Publish(it, version, *table, by);
      },
      [this, version, fingerprint](const UpdateResult& result) {
        proposing_ = false;
        due_ = {};
        if (to_propose_ && to_propose_->table->fingerprint == fingerprint) to_propose_.reset();
        std::string what = fmt::format("quota configuration {:016x} as version {}", fingerprint, version);
        if (!result.ok()) return OnProposalRejected(what, fingerprint, result);
        rejection_.clear();
        rejected_fingerprint_ = 0;
        callbacks_.log(what + " accepted");
      });
}

// ---- Active configuration ---------------------------------------------------------------------------------

void ConfigRollout::ActivateAccepted(TimePoint now) {
  std::uint32_t version = accepted_version();
  if (version == 0 || version == active_version_) return;
  const Version& last = subject()->versions.back();
  if (last.language > static_cast<std::uint32_t>(max_language_)) {
    if (std::exchange(unreadable_version_, version) != version)
      callbacks_.log(
          fmt::format("quota configuration version {} needs language {}, which this router does not read; "
                      "{:016x} stays active",
                      version, last.language, active_));
    return;
  }
  const Config* config = FindRecent(last.fingerprint);
  if (config == nullptr) {
    if (wanted_ != last.fingerprint) {
      wanted_ = last.fingerprint;
      source_.clear();
      lacking_ = 0;
      Fetch(now);
    }
    return;
  }
  wanted_ = 0;
  active_version_ = version;
  callbacks_.log(
      fmt::format("quota configuration version {} ({:016x}) is active", version, last.fingerprint));
  if (std::exchange(active_, last.fingerprint) != last.fingerprint) callbacks_.activate(config->table);
}

// Asks another router for the text.
void ConfigRollout::Fetch(TimePoint now) {
  fetch_at_ = now + kFetchTimeout;
  fetched_.clear();
  std::vector<std::string> others = callbacks_.others();
  if (others.empty()) return;
  auto at = std::ranges::find(others, source_);
  std::size_t next = at == others.end() ? random_() % others.size()
                                        : (static_cast<std::size_t>(at - others.begin()) + 1) % others.size();
  source_ = others[next];
  Message request;
  request.kind = MessageKind::kConfigRequest;
  request.fingerprint = wanted_;
  callbacks_.send(source_, request);
}

void ConfigRollout::Handle(TimePoint now, const std::string& from, const Message& message) {
  if (message.kind == MessageKind::kConfigRequest) {
    Message reply;
    reply.kind = MessageKind::kConfigChunk;
    reply.fingerprint = message.fingerprint;
    reply.offset = message.offset;
    const Config* config = FindRecent(message.fingerprint);
    if (config != nullptr && message.offset < config->text.size()) {
      reply.total_bytes = config->text.size();
      reply.bytes = config->text.substr(message.offset, kChunkBytes);
    }
    return callbacks_.send(from, reply);
  }
  if (message.kind != MessageKind::kConfigChunk || wanted_ == 0 || message.fingerprint != wanted_ ||
      from != source_)
    return;
  if (message.total_bytes == 0) {  // it lacks the text too
    if (++lacking_ < callbacks_.others().size()) return Fetch(now);
    lacking_ = 0;
    return;
  }
  if (message.offset != fetched_.size() || message.bytes.empty() ||
      message.total_bytes > rations::kMaxQuotaConfigBytes)
    return;
  fetched_ += message.bytes;
  if (fetched_.size() >= message.total_bytes) return OnTextComplete(now, from);
  Message request;
  request.kind = MessageKind::kConfigRequest;
  request.fingerprint = wanted_;
  request.offset = fetched_.size();
  fetch_at_ = now + kFetchTimeout;
  callbacks_.send(from, request);
}

void ConfigRollout::OnTextComplete(TimePoint now, const std::string& from) {
  std::string text = std::exchange(fetched_, {}), error;
  Table table = callbacks_.parse(text, error);
  if (table != nullptr && table->fingerprint == wanted_) {
    AddRecent({std::move(text), std::move(table)});
    return ActivateAccepted(now);
  }
  if (error.empty()) error = "its fingerprint differs under this router's settings";
  callbacks_.log(fmt::format("the text of quota configuration {:016x} from {} cannot be used: {}", wanted_,
                             from, error));
  fetch_at_ = now + kFetchRetry;
}

void ConfigRollout::Step(TimePoint now) {
  due_ = TimePoint::max();
  const ReaderState* own = ReaderStateOf(self_);
  if (reader_phase_ == ReaderPhase::kRegistered && own != nullptr && own->status == ReaderStatus::kRetired &&
      own->registration >= registration_) {
    callbacks_.log(fmt::format("retired as a reader by {}: {}; registers again", own->retired_by,
                               own->retirement_reason));
    registration_ = own->registration + 1;
    reader_phase_ = ReaderPhase::kUnregistered;
  }
  if (reader_phase_ == ReaderPhase::kRejected && accepted_version() != rejected_at_version_)
    reader_phase_ = ReaderPhase::kUnregistered;
  if (reader_phase_ == ReaderPhase::kUnregistered) Register();
  ActivateAccepted(now);
  if (wanted_ != 0 && now >= fetch_at_) Fetch(now);
  ProposeNext();
}

}  // namespace peatbend::compat
