#include "compat/registry_state.h"

#include <algorithm>

#include "base/msgpack_fields.h"

namespace peatbend::compat {

using net::FieldReader;
using net::kUnbounded;
using nlohmann::json;

namespace {

constexpr std::uint64_t kStateFormat = 1;
constexpr std::uint32_t kMaxVersions = 4096;
constexpr std::size_t kMaxReaderVersions = 256;

UpdateResult Reject(const std::string& subject, const char* rule, std::string what,
                    std::uint32_t version = 0) {
  return {{{subject, "", rule, std::move(what), version, {}}}};
}
UpdateResult RejectUnknownSubject(const std::string& subject) {
  return Reject(subject, "subject", "has not been declared");
}

}  // namespace

std::string Incompatibility::Text() const {
  std::string text = subject + (path.empty() ? "" : " " + path) + ": " + rule + ": " + what;
  if (version > 0) text += ", with version " + std::to_string(version);
  for (std::size_t i = 0; i < readers.size(); ++i) text += (i == 0 ? ", read by " : ", ") + readers[i];
  return text;
}

std::vector<std::string> Subject::ReadersOf(std::uint32_t number) const {
  std::vector<std::string> names;
  for (const auto& [name, state] : readers)
    if (state.status != ReaderStatus::kRetired && state.versions.contains(number)) names.push_back(name);
  return names;
}

// Applies the change to the subject, or leaves it unchanged if the registry would become too large.
template <typename Change>
UpdateResult RegistryState::Apply(const std::string& name, std::size_t max_bytes, Change change) {
  auto [at, inserted] = subjects_.try_emplace(name);
  Subject before = at->second;
  change(at->second);
  if (Serialize().size() <= max_bytes) return {};
  if (inserted)
    subjects_.erase(at);
  else
    at->second = std::move(before);
  return Reject(name, "full", "the registry would have more than " + std::to_string(max_bytes) + " bytes");
}

UpdateResult RegistryState::Declare(const std::string& subject, Policy policy) {
  if (subject.empty() || subject.size() > bounds_.name)
    return Reject(subject, "subject", "a name of 1 to " + std::to_string(bounds_.name) + " bytes is needed");
  if (policy.kind == VersionKind::kLanguages && policy.mode != CompatibilityMode::kForward)
    return Reject(subject, "subject",
                  "a subject of languages supports only the mode in which readers read newer data");
  auto at = subjects_.find(subject);
  if (at == subjects_.end() && subjects_.size() >= bounds_.subjects)
    return Reject(subject, "full", "there are " + std::to_string(bounds_.subjects) + " subjects");
  if (at != subjects_.end() && at->second.policy.kind != policy.kind)
    return Reject(subject, "subject", "the kind of its versions cannot be changed");
  return Apply(subject, bounds_.bytes - bounds_.bytes / 8, [&](Subject& of) { of.policy = policy; });
}

const Schema& RegistryState::SchemaOf(const std::string& text) {
  auto& schema = parsed_[text];
  if (!schema) schema = std::make_shared<const Schema>(std::get<Schema>(Schema::Parse(text)));
  return *schema;
}

void RegistryState::CheckPair(const std::string& name, std::uint32_t writer, std::uint32_t reader,
                              const Incompatibility& incompatibility, std::vector<Incompatibility>& into) {
  const auto& versions = subjects_.at(name).versions;
  for (Difference& each :
       Resolve(SchemaOf(versions[writer - 1].schema), SchemaOf(versions[reader - 1].schema))) {
    into.push_back(incompatibility);
    into.back().path = std::move(each.path);
    into.back().rule = kRuleNames[static_cast<int>(each.rule)];
    into.back().what = std::move(each.what);
  }
}

UpdateResult RegistryState::Propose(const std::string& subject, std::uint32_t version,
                                    const std::string& schema) {
  auto parsed = Schema::Parse(schema);
  // The canonical text may be longer than the given one, and exceed a limit.
  if (const Schema* valid = std::get_if<Schema>(&parsed)) {
    auto reparsed = Schema::Parse(valid->text());
    if (std::holds_alternative<Error>(reparsed)) parsed = std::move(reparsed);
  }
  if (const Error* error = std::get_if<Error>(&parsed))
    return {{{subject, error->path, "schema", error->what, 0, {}}}};
  auto at = subjects_.find(subject);
  if (at == subjects_.end()) return RejectUnknownSubject(subject);
  if (at->second.policy.kind != VersionKind::kSchemas)
    return Reject(subject, "subject", "its versions are not schemas");
  const Schema& canonical = std::get<Schema>(parsed);
  return AddVersion(subject, version, {canonical.text(), 0, canonical.fingerprint()});
}

UpdateResult RegistryState::Propose(const std::string& subject, std::uint32_t version, std::uint32_t language,
                                    std::uint64_t fingerprint) {
  auto at = subjects_.find(subject);
  if (at == subjects_.end()) return RejectUnknownSubject(subject);
  if (at->second.policy.kind != VersionKind::kLanguages)
    return Reject(subject, "subject", "its versions are not languages");
  return AddVersion(subject, version, {"", language, fingerprint});
}

UpdateResult RegistryState::AddVersion(const std::string& name, std::uint32_t number, Version version) {
  Subject& of = subjects_.at(name);
  auto last = static_cast<std::uint32_t>(of.versions.size());
  if (number >= 1 && number <= last) {
    if (of.versions[number - 1] == version) return {};
    return Reject(name, "version", "another has been accepted under this number", number);
  }
  if (number != last + 1 || last == kMaxVersions)
    return Reject(name, "version", "the next is " + std::to_string(last + 1), last);
  UpdateResult result;
  if (of.policy.kind == VersionKind::kLanguages) {
    Incompatibility incompatibility{
        name, "", "language", "language " + std::to_string(version.language) + " is not read", 0, {}};
    for (const auto& [reader, state] : of.readers)
      if (state.status != ReaderStatus::kRetired && !state.versions.contains(version.language))
        incompatibility.readers.push_back(reader);
    if (!incompatibility.readers.empty()) result.incompatibilities.push_back(std::move(incompatibility));
  } else {
    of.versions.push_back(version);
    for (std::uint32_t other = 1; other <= last; ++other) {
      Incompatibility incompatibility{name, "", "", "", other, of.ReadersOf(other)};
      bool in_use = of.policy.checked_against == CheckedAgainst::kInUse && !incompatibility.readers.empty();
      if (other != last && !in_use) continue;
      if (of.policy.mode != CompatibilityMode::kBackward)
        CheckPair(name, number, other, incompatibility, result.incompatibilities);
      incompatibility.readers.clear();  // the readers affected are the future ones of the new version
      if (of.policy.mode != CompatibilityMode::kForward)
        CheckPair(name, other, number, incompatibility, result.incompatibilities);
    }
    of.versions.pop_back();
  }
  if (!result.ok()) return result;
  return Apply(name, bounds_.bytes - bounds_.bytes / 8,
               [&](Subject& subject) { subject.versions.push_back(std::move(version)); });
}

UpdateResult RegistryState::RegisterReader(const std::string& subject, const std::string& reader,
                                           std::uint64_t registration, std::set<std::uint32_t> reads) {
  auto at = subjects_.find(subject);
  if (at == subjects_.end()) return RejectUnknownSubject(subject);
  const Subject& of = at->second;
  if (reader.empty() || reader.size() > bounds_.name || reads.empty() || reads.size() > kMaxReaderVersions)
    return Reject(subject, "reader", "the name or the versions of the reader are missing or too long");
  auto known = of.readers.find(reader);
  if (known == of.readers.end() && of.readers.size() >= bounds_.readers)
    return Reject(subject, "full", "there are " + std::to_string(bounds_.readers) + " readers");
  if (known != of.readers.end() && registration <= known->second.registration) {
    const ReaderState& state = known->second;
    bool same = registration == state.registration && reads == state.versions;
    if (state.status == ReaderStatus::kRetired)
      return Reject(subject, "reader", "retired by " + state.retired_by);
    if (!same) return Reject(subject, "statement", "has registered again since");
    if (state.status == ReaderStatus::kActive) return {};
  }
  auto last = static_cast<std::uint32_t>(of.versions.size());
  bool last_only = of.policy.checked_against == CheckedAgainst::kLast;
  UpdateResult result;
  for (std::uint32_t number = last_only ? std::max(last, 1u) : 1; number <= last; ++number) {
    if (of.policy.kind == VersionKind::kLanguages) {
      std::uint32_t language = of.versions[number - 1].language;
      if (!reads.contains(language))
        result.incompatibilities.push_back({subject,
                                            "",
                                            "language",
                                            "language " + std::to_string(language) + " is not read",
                                            number,
                                            {reader}});
      continue;
    }
    for (std::uint32_t own : reads) {
      if (own < 1 || own > last) continue;
      bool newer = number > own && of.policy.mode != CompatibilityMode::kBackward;
      bool older =
          number < own && of.policy.mode != CompatibilityMode::kForward && !of.ReadersOf(number).empty();
      if (newer || older)
        CheckPair(subject, number, own, {subject, "", "", "", number, {reader}}, result.incompatibilities);
    }
  }
  for (std::uint32_t own : reads)
    if (of.policy.kind == VersionKind::kSchemas && (own < 1 || own > last))
      result.incompatibilities.push_back({subject, "", "version", "has not been accepted", own, {reader}});
  if (!result.ok()) return result;
  return Apply(subject, bounds_.bytes - bounds_.bytes / 8, [&](Subject& it) {
    it.readers[reader] = {std::move(reads), registration, ReaderStatus::kActive, "", ""};
  });
}

UpdateResult RegistryState::MarkSilent(const std::string& subject, const std::string& reader,
                                       std::uint64_t registration) {
  auto at = subjects_.find(subject);
  if (at == subjects_.end()) return RejectUnknownSubject(subject);
  auto known = at->second.readers.find(reader);
  if (known == at->second.readers.end()) return Reject(subject, "reader", "has never registered");
  if (registration != known->second.registration)
    return Reject(subject, "statement", "has another registration");
  if (known->second.status == ReaderStatus::kActive) known->second.status = ReaderStatus::kSilent;
  return {};
}

UpdateResult RegistryState::Retire(const std::string& subject, const std::string& reader,
                                   std::uint64_t registration, const std::string& by,
                                   const std::string& reason) {
  auto at = subjects_.find(subject);
  if (at == subjects_.end()) return RejectUnknownSubject(subject);
  auto known = at->second.readers.find(reader);
  if (known == at->second.readers.end()) return Reject(subject, "reader", "has never registered");
  if (registration != known->second.registration)
    return Reject(subject, "statement", "has another registration");
  if (known->second.status == ReaderStatus::kRetired) return {};
  if (by.empty() || reason.empty() || std::max(by.size(), reason.size()) > bounds_.name)
    return Reject(
        subject, "reader",
        "the operator and the reason are needed, in 1 to " + std::to_string(bounds_.name) + " bytes");
  return Apply(subject, bounds_.bytes, [&](Subject& it) {
    ReaderState& state = it.readers[reader];
    state.status = ReaderStatus::kRetired;
    state.retired_by = by;
    state.retirement_reason = reason;
  });
}

// ---- Serialization ----------------------------------------------------------------------------------------

std::string RegistryState::Serialize() const {
  if (subjects_.empty()) return "";
  json all = json::array();
  for (const auto& [name, subject] : subjects_) {
    json versions = json::array(), readers = json::array();
    for (const Version& each : subject.versions)
      versions.push_back(json::array({each.schema, each.language, each.fingerprint}));
    for (const auto& [reader, state] : subject.readers)
      readers.push_back(json::array({reader, state.registration, static_cast<unsigned>(state.status),
                                     state.retired_by, state.retirement_reason, state.versions}));
    const Policy& policy = subject.policy;
    all.push_back(json::array({name, static_cast<unsigned>(policy.kind), static_cast<unsigned>(policy.mode),
                               static_cast<unsigned>(policy.checked_against), std::move(versions),
                               std::move(readers)}));
  }
  std::string bytes;
  json::to_msgpack(json::array({kStateFormat, std::move(all)}), bytes);
  return bytes;
}

namespace {

bool ParseVersions(const json* from, VersionKind kind, const Limits& limits, std::vector<Version>& into) {
  if (from == nullptr || !from->is_array() || from->size() > kMaxVersions) return false;
  for (const json& each : *from) {
    Version& version = into.emplace_back();
    FieldReader fields(each);
    fields.Text(version.schema, limits.bytes)
        .Number(version.language, 0xffffffffu)
        .Number(version.fingerprint, kUnbounded);
    if (!fields.ok() || version.schema.empty() != (kind == VersionKind::kLanguages)) return false;
  }
  return true;
}

bool ParseReaders(const json* from, const RegistryState::Bounds& bounds,
                  std::map<std::string, ReaderState>& into) {
  if (from == nullptr || !from->is_array() || from->size() > bounds.readers) return false;
  for (const json& each : *from) {
    std::string name;
    ReaderState state;
    FieldReader fields(each);
    fields.Text(name, bounds.name)
        .Number(state.registration, kUnbounded)
        .Number(state.status, static_cast<std::uint64_t>(ReaderStatus::kRetired))
        .Text(state.retired_by, bounds.name)
        .Text(state.retirement_reason, bounds.name);
    const json* reads = fields.Next();
    if (reads == nullptr || !reads->is_array() || reads->size() > kMaxReaderVersions) return false;
    for (const json& number : *reads) {
      if (!number.is_number_unsigned() || number.get<std::uint64_t>() > 0xffffffffu) return false;
      state.versions.insert(number.get<std::uint32_t>());
    }
    into[name] = std::move(state);
  }
  return true;
}

}  // namespace

std::optional<RegistryState> RegistryState::Parse(std::string_view bytes, Bounds bounds) {
  RegistryState parsed_state(bounds);
  if (bytes.empty()) return parsed_state;
  if (bytes.size() > bounds.bytes) return std::nullopt;
  json array = net::Unpack(bytes, 6);
  if (array.is_discarded()) return std::nullopt;
  FieldReader fields(array);
  std::uint64_t format = 0;
  const json* all = fields.Number(format, kStateFormat).Next();
  if (format != kStateFormat || all == nullptr || !all->is_array() || all->size() > bounds.subjects)
    return std::nullopt;
  for (const json& each : *all) {
    std::string name;
    Subject subject;
    FieldReader of(each);
    of.Text(name, bounds.name)
        .Number(subject.policy.kind, static_cast<std::uint64_t>(VersionKind::kLanguages))
        .Number(subject.policy.mode, static_cast<std::uint64_t>(CompatibilityMode::kFull))
        .Number(subject.policy.checked_against, static_cast<std::uint64_t>(CheckedAgainst::kInUse));
    if (!of.ok() || !ParseVersions(of.Next(), subject.policy.kind, Limits{}, subject.versions) ||
        !ParseReaders(of.Next(), bounds, subject.readers))
      return std::nullopt;
    for (const Version& version : subject.versions) {
      if (version.schema.empty()) continue;
      auto parsed = Schema::Parse(version.schema);
      const Schema* schema = std::get_if<Schema>(&parsed);
      if (schema == nullptr || schema->text() != version.schema ||
          schema->fingerprint() != version.fingerprint)
        return std::nullopt;
      parsed_state.parsed_[version.schema] =
          std::make_shared<const Schema>(std::get<Schema>(std::move(parsed)));
    }
    parsed_state.subjects_[name] = std::move(subject);
  }
  // Only the canonical encoding is accepted.
  if (parsed_state.Serialize() != bytes) return std::nullopt;
  return parsed_state;
}

}  // namespace peatbend::compat
