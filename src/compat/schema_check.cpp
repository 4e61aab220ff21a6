#include "compat/schema_check.h"

#include <algorithm>
#include <utility>

#include "base/text.h"

namespace peatbend::compat {
namespace {

constexpr std::size_t kMaxNameBytes = 128;  // as in RegistryState::Bounds

const ReaderState* ReaderStateOf(const RegistryState& registry, const std::string& subject,
                                 const std::string& reader) {
  auto found = registry.subjects().find(subject);
  if (found == registry.subjects().end()) return nullptr;
  auto at = found->second.readers.find(reader);
  return at == found->second.readers.end() ? nullptr : &at->second;
}

}  // namespace

RegistryUpdate::Command MakeProposal(const SubjectConfig& config) {
  return [config](RegistryState& it) {
    UpdateResult result = it.Declare(config.subject, config.policy);
    for (const Retirement& one : config.retirements) {
      const ReaderState* state = ReaderStateOf(it, config.subject, one.reader);
      bool registered_since = state != nullptr && state->registration > one.registration;
      if (result.ok() && !registered_since)
        result = it.Retire(config.subject, one.reader, one.registration, "an operator", one.reason);
    }
    for (std::size_t i = 0; i < config.schemas.size() && result.ok(); ++i)
      result =
          it.Propose(config.subject, config.first_version + static_cast<std::uint32_t>(i), config.schemas[i]);
    return result;
  };
}

std::uint32_t FirstNotAccepted(const SubjectConfig& config, const RegistryState& known) {
  auto at = known.subjects().find(config.subject);
  for (std::size_t i = 0; i < config.schemas.size(); ++i) {
    std::uint32_t number = config.first_version + static_cast<std::uint32_t>(i);
    if (at == known.subjects().end() || number > at->second.versions.size()) return number;
    auto schema = Schema::Parse(config.schemas[i]);
    const Schema* parsed = std::get_if<Schema>(&schema);
    if (parsed == nullptr || parsed->text() != at->second.versions[number - 1].schema) return number;
  }
  return 0;
}

RegistryUpdate::Command MakeRegistration(const std::string& subject, const Registration& registration) {
  return [subject, reader = std::string(registration.reader), version = registration.version,
          number = registration.number](RegistryState& it) {
    if (number) return it.RegisterReader(subject, reader, *number, {version});
    const ReaderState* state = ReaderStateOf(it, subject, reader);
    if (state == nullptr) return it.RegisterReader(subject, reader, 1, {version});
    std::set<std::uint32_t> all{version};
    if (state->status != ReaderStatus::kRetired) {
      if (state->versions.contains(version)) return UpdateResult{};
      all.insert(state->versions.begin(), state->versions.end());
    }
    return it.RegisterReader(subject, reader, state->registration + 1, std::move(all));
  };
}

SchemaCheck::SchemaCheck(std::vector<SubjectConfig> subjects, std::size_t classes, std::size_t tenants,
                         Bounds bounds)
    : subjects_(std::move(subjects)),
      bounds_(bounds),
      tenants_(tenants),
      table_(classes * (tenants + 1), -1),
      views_(subjects_.size()) {
  for (std::size_t subject = 0; subject < subjects_.size(); ++subject) {
    for (int cls : subjects_[subject].classes) {
      for (int tenant = -1; tenant < static_cast<int>(tenants); ++tenant) {
        const std::vector<int>& named = subjects_[subject].tenants;
        if (named.empty() || std::ranges::find(named, tenant) != named.end())
          table_[Cell(cls, tenant)] = static_cast<std::int16_t>(subject);
      }
    }
  }
}

void SchemaCheck::UpdateKnown(const RegistryState& known) {
  ++revision_;
  known_ = known;
  for (std::size_t subject = 0; subject < subjects_.size(); ++subject) {
    View view;
    auto at = known_.subjects().find(subjects_[subject].subject);
    if (at != known_.subjects().end()) {
      view.known = true;
      view.accepted_versions = static_cast<std::uint32_t>(at->second.versions.size());
      for (const auto& [name, state] : at->second.readers)
        if (state.status != ReaderStatus::kRetired)
          view.readers.push_back({name, {state.versions.begin(), state.versions.end()}});
    }
    views_[subject] = std::move(view);
  }
}

void SchemaCheck::SetProposal(std::size_t subject, const SubjectConfig& reloaded) {
  SubjectConfig& config = subjects_[subject];
  config.first_version = reloaded.first_version;
  config.schemas = reloaded.schemas;
  config.retirements = reloaded.retirements;
}

bool SchemaCheck::View::IsRegistered(std::string_view reader, std::uint32_t number) const {
  auto at = std::ranges::lower_bound(readers, reader, {},
                                     [](const Reader& one) { return std::string_view(one.name); });
  return at != readers.end() && at->name == reader && std::ranges::binary_search(at->versions, number);
}

SchemaCheck::Verdict SchemaCheck::CheckWrite(int subject, std::string_view version) const {
  const View& view = views_[static_cast<std::size_t>(subject)];
  std::uint32_t number = 0;
  if (!ParseNumber(version, number) || number == 0) return {CheckResult::kNoVersion};
  if (!view.known) return {CheckResult::kUnknownSubject};
  return {number <= view.accepted_versions ? CheckResult::kAllowed : CheckResult::kNotAccepted};
}

std::optional<Registration> SchemaCheck::ParseRegistration(std::string_view reader, std::string_view version,
                                                           std::string_view number) {
  Registration registration{reader, 0, {}};
  std::uint64_t value = 0;
  if (!ParseNumber(version, registration.version) || registration.version == 0) return std::nullopt;
  if (!number.empty() && !ParseNumber(number, value)) return std::nullopt;
  if (!number.empty()) registration.number = value;
  return registration;
}

SchemaCheck::Verdict SchemaCheck::CheckRead(failover::TimePoint now, int subject, std::string_view reader,
                                            std::string_view version, std::string_view number) {
  if (reader.empty())
    return {subjects_[static_cast<std::size_t>(subject)].allow_unnamed_readers ? CheckResult::kAllowed
                                                                               : CheckResult::kUnnamedReader};
  auto registration = ParseRegistration(reader, version, number);
  bool unnumbered = number.empty() && !subjects_[static_cast<std::size_t>(subject)].registration_fact.empty();
  if (!registration || unnumbered) return {CheckResult::kNoVersion};
  const View& view = views_[static_cast<std::size_t>(subject)];
  if (view.IsRegistered(reader, registration->version)) return {};
  if (!view.known) return {CheckResult::kUnknownSubject};
  if (reader.size() > kMaxNameBytes) return {CheckResult::kRejected};
  return Evaluate(now, subject, *registration);
}

// Evaluates a registration that is not in the known state on a copy of it, so that none is submitted that the
// known state rejects. The committed state may judge otherwise only until it becomes known.
SchemaCheck::Verdict SchemaCheck::Evaluate(failover::TimePoint now, int subject,
                                           const Registration& registration) {
  Key key{subject, std::string(registration.reader), registration.version, registration.number};
  auto at = unregistered_.find(key);
  if (at != unregistered_.end() && at->second.pending) return {CheckResult::kRegistering};
  if (at != unregistered_.end() && (at->second.revision == revision_ || now < at->second.until))
    return {CheckResult::kRejected};
  if (now - second_started_ >= std::chrono::seconds(1)) {
    second_started_ = now;
    evaluations_ = 0;
  }
  if (pending_ >= bounds_.pending || evaluations_ >= bounds_.evaluations_per_s) return {CheckResult::kBusy};
  ++evaluations_;
  if (at == unregistered_.end()) {
    if (rejected_registrations() >= bounds_.rejected)
      std::erase_if(unregistered_, [](const auto& one) { return !one.second.pending; });
    at = unregistered_.try_emplace(std::move(key)).first;
  }
  RegistryState copy = known_;
  UpdateResult result =
      MakeRegistration(subjects_[static_cast<std::size_t>(subject)].subject, registration)(copy);
  if (result.ok()) {
    at->second.pending = true;
    ++pending_;
    return {CheckResult::kRegister};
  }
  MarkRejected(now, at->second);
  return {CheckResult::kRejected, result.incompatibilities.front().Text()};
}

void SchemaCheck::MarkRejected(failover::TimePoint now, Unregistered& entry) {
  entry.revision = revision_;
  entry.until = now + bounds_.reevaluate_after;
}

void SchemaCheck::OnRegistered(failover::TimePoint now, int subject, const Registration& registration,
                               const UpdateResult& result) {
  auto at = unregistered_.find(
      {subject, std::string(registration.reader), registration.version, registration.number});
  if (at == unregistered_.end() || !std::exchange(at->second.pending, false)) return;
  --pending_;
  if (result.ok() || result.incompatibilities.front().rule == "busy") {
    unregistered_.erase(at);  // if the known state lacks it at the next read, it is submitted again
  } else {
    MarkRejected(now, at->second);
  }
}

}  // namespace peatbend::compat
