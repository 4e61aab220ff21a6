#include "compat/catalogue.h"

#include <algorithm>

#include "base/msgpack_fields.h"

namespace peatbend::compat {

using net::FieldReader;
using net::kUnbounded;
using nlohmann::json;

namespace {

constexpr std::uint64_t kForm = 1;
constexpr std::uint32_t kMostVersions = 4096;
constexpr std::size_t kMostReads = 256;

Answer No(const std::string& subject, const char* rule, std::string what, std::uint32_t version = 0) {
  return {{{subject, "", rule, std::move(what), version, {}}}};
}
Answer NoSubject(const std::string& subject) { return No(subject, "subject", "has not been declared"); }

}  // namespace

std::string Objection::Text() const {
  std::string text = subject + (path.empty() ? "" : " " + path) + ": " + rule + ": " + what;
  if (version > 0) text += ", with version " + std::to_string(version);
  for (std::size_t i = 0; i < readers.size(); ++i) text += (i == 0 ? ", read by " : ", ") + readers[i];
  return text;
}

std::vector<std::string> Subject::ReadersOf(std::uint32_t number) const {
  std::vector<std::string> names;
  for (const auto& [name, standing] : readers)
    if (standing.evidence != Evidence::kRetired && standing.reads.contains(number)) names.push_back(name);
  return names;
}

// Changes the subject, or leaves it as it was where that would be too large.
template <typename What>
Answer Catalogue::Change(const std::string& name, std::size_t most, What what) {
  auto [at, fresh] = subjects_.try_emplace(name);
  Subject before = at->second;
  what(at->second);
  if (Bytes().size() <= most) return {};
  if (fresh)
    subjects_.erase(at);
  else
    at->second = std::move(before);
  return No(name, "full", "the catalogue would have more than " + std::to_string(most) + " bytes");
}

Answer Catalogue::Declare(const std::string& subject, Policy policy) {
  if (subject.empty() || subject.size() > bounds_.name)
    return No(subject, "subject", "a name of 1 to " + std::to_string(bounds_.name) + " bytes is needed");
  if (policy.carries == Carries::kLanguages && policy.mode != Mode::kReadersReadNew)
    return No(subject, "subject", "of languages only this can be held: readers read what is new");
  auto at = subjects_.find(subject);
  if (at == subjects_.end() && subjects_.size() >= bounds_.subjects)
    return No(subject, "full", "there are " + std::to_string(bounds_.subjects) + " subjects");
  if (at != subjects_.end() && at->second.policy.carries != policy.carries)
    return No(subject, "subject", "carries something else");
  return Change(subject, bounds_.bytes - bounds_.bytes / 8, [&](Subject& of) { of.policy = policy; });
}

const Schema& Catalogue::SchemaOf(const std::string& text) {
  auto& schema = parsed_[text];
  if (!schema) schema = std::make_shared<const Schema>(std::get<Schema>(Schema::Parse(text)));
  return *schema;
}

void Catalogue::CheckPair(const std::string& name, std::uint32_t writer, std::uint32_t reader,
                          const Objection& objection, std::vector<Objection>& into) {
  const auto& versions = subjects_.at(name).versions;
  for (Difference& each :
       Resolve(SchemaOf(versions[writer - 1].schema), SchemaOf(versions[reader - 1].schema))) {
    into.push_back(objection);
    into.back().path = std::move(each.path);
    into.back().rule = kRuleNames[static_cast<int>(each.rule)];
    into.back().what = std::move(each.what);
  }
}

Answer Catalogue::Propose(const std::string& subject, std::uint32_t version, const std::string& schema) {
  auto parsed = Schema::Parse(schema);
  // Its full text may be longer than what was given.
  if (const Schema* fine = std::get_if<Schema>(&parsed)) {
    auto again = Schema::Parse(fine->text());
    if (std::holds_alternative<Error>(again)) parsed = std::move(again);
  }
  if (const Error* error = std::get_if<Error>(&parsed))
    return {{{subject, error->path, "schema", error->what, 0, {}}}};
  auto at = subjects_.find(subject);
  if (at == subjects_.end()) return NoSubject(subject);
  if (at->second.policy.carries != Carries::kSchemas) return No(subject, "subject", "carries no schemas");
  const Schema& read = std::get<Schema>(parsed);
  return Add(subject, version, {read.text(), 0, read.fingerprint()});
}

Answer Catalogue::Propose(const std::string& subject, std::uint32_t version, std::uint32_t language,
                          std::uint64_t print) {
  auto at = subjects_.find(subject);
  if (at == subjects_.end()) return NoSubject(subject);
  if (at->second.policy.carries != Carries::kLanguages) return No(subject, "subject", "carries no languages");
  return Add(subject, version, {"", language, print});
}

Answer Catalogue::Add(const std::string& name, std::uint32_t number, Version version) {
  Subject& of = subjects_.at(name);
  auto last = static_cast<std::uint32_t>(of.versions.size());
  if (number >= 1 && number <= last) {
    if (of.versions[number - 1] == version) return {};
    return No(name, "version", "another has been accepted under this number", number);
  }
  if (number != last + 1 || last == kMostVersions)
    return No(name, "version", "the next is " + std::to_string(last + 1), last);
  Answer answer;
  if (of.policy.carries == Carries::kLanguages) {
    Objection objection{name, "", "language", "language " + std::to_string(version.language) + " is not read",
                        0,    {}};
    for (const auto& [reader, standing] : of.readers)
      if (standing.evidence != Evidence::kRetired && !standing.reads.contains(version.language))
        objection.readers.push_back(reader);
    if (!objection.readers.empty()) answer.objections.push_back(std::move(objection));
  } else {
    of.versions.push_back(version);
    for (std::uint32_t other = 1; other <= last; ++other) {
      Objection objection{name, "", "", "", other, of.ReadersOf(other)};
      bool in_use = of.policy.beside == Beside::kInUse && !objection.readers.empty();
      if (other != last && !in_use) continue;
      if (of.policy.mode != Mode::kNewReadsOld) CheckPair(name, number, other, objection, answer.objections);
      objection.readers.clear();  // who breaks is who will read with the new one
      if (of.policy.mode != Mode::kReadersReadNew)
        CheckPair(name, other, number, objection, answer.objections);
    }
    of.versions.pop_back();
  }
  if (!answer.yes()) return answer;
  return Change(name, bounds_.bytes - bounds_.bytes / 8,
                [&](Subject& subject) { subject.versions.push_back(std::move(version)); });
}

Answer Catalogue::Join(const std::string& subject, const std::string& reader, std::uint64_t statement,
                       std::set<std::uint32_t> reads) {
  auto at = subjects_.find(subject);
  if (at == subjects_.end()) return NoSubject(subject);
  const Subject& of = at->second;
  if (reader.empty() || reader.size() > bounds_.name || reads.empty() || reads.size() > kMostReads)
    return No(subject, "reader", "a name, and what it reads, are needed");
  auto known = of.readers.find(reader);
  if (known == of.readers.end() && of.readers.size() >= bounds_.readers)
    return No(subject, "full", "there are " + std::to_string(bounds_.readers) + " readers");
  if (known != of.readers.end() && statement <= known->second.statement) {
    const Standing& standing = known->second;
    bool same = statement == standing.statement && reads == standing.reads;
    if (standing.evidence == Evidence::kRetired)
      return No(subject, "reader", "retired by " + standing.retired_by);
    if (!same) return No(subject, "statement", "has made a later statement");
    if (standing.evidence == Evidence::kHeard) return {};
  }
  auto last = static_cast<std::uint32_t>(of.versions.size());
  bool last_only = of.policy.beside == Beside::kLast;
  Answer answer;
  for (std::uint32_t number = last_only ? std::max(last, 1u) : 1; number <= last; ++number) {
    if (of.policy.carries == Carries::kLanguages) {
      std::uint32_t language = of.versions[number - 1].language;
      if (!reads.contains(language))
        answer.objections.push_back({subject,
                                     "",
                                     "language",
                                     "language " + std::to_string(language) + " is not read",
                                     number,
                                     {reader}});
      continue;
    }
    for (std::uint32_t own : reads) {
      if (own < 1 || own > last) continue;
      bool newer = number > own && of.policy.mode != Mode::kNewReadsOld;
      bool older = number < own && of.policy.mode != Mode::kReadersReadNew && !of.ReadersOf(number).empty();
      if (newer || older)
        CheckPair(subject, number, own, {subject, "", "", "", number, {reader}}, answer.objections);
    }
  }
  for (std::uint32_t own : reads)
    if (of.policy.carries == Carries::kSchemas && (own < 1 || own > last))
      answer.objections.push_back({subject, "", "version", "has not been accepted", own, {reader}});
  if (!answer.yes()) return answer;
  return Change(subject, bounds_.bytes - bounds_.bytes / 8, [&](Subject& it) {
    it.readers[reader] = {std::move(reads), statement, Evidence::kHeard, "", ""};
  });
}

Answer Catalogue::Silent(const std::string& subject, const std::string& reader, std::uint64_t statement) {
  auto at = subjects_.find(subject);
  if (at == subjects_.end()) return NoSubject(subject);
  auto known = at->second.readers.find(reader);
  if (known == at->second.readers.end()) return No(subject, "reader", "has never joined");
  if (statement != known->second.statement) return No(subject, "statement", "has made another statement");
  if (known->second.evidence == Evidence::kHeard) known->second.evidence = Evidence::kLastHeard;
  return {};
}

Answer Catalogue::Retire(const std::string& subject, const std::string& reader, std::uint64_t statement,
                         const std::string& by, const std::string& why) {
  auto at = subjects_.find(subject);
  if (at == subjects_.end()) return NoSubject(subject);
  auto known = at->second.readers.find(reader);
  if (known == at->second.readers.end()) return No(subject, "reader", "has never joined");
  if (statement != known->second.statement) return No(subject, "statement", "has made another statement");
  if (known->second.evidence == Evidence::kRetired) return {};
  if (by.empty() || why.empty() || std::max(by.size(), why.size()) > bounds_.name)
    return No(subject, "reader",
              "by whom and why must be said, in 1 to " + std::to_string(bounds_.name) + " bytes");
  return Change(subject, bounds_.bytes, [&](Subject& it) {
    Standing& standing = it.readers[reader];
    standing.evidence = Evidence::kRetired;
    standing.retired_by = by;
    standing.why = why;
  });
}

// ---- As bytes ---------------------------------------------------------------------------------------------

std::string Catalogue::Bytes() const {
  if (subjects_.empty()) return "";
  json all = json::array();
  for (const auto& [name, subject] : subjects_) {
    json versions = json::array(), readers = json::array();
    for (const Version& each : subject.versions)
      versions.push_back(json::array({each.schema, each.language, each.print}));
    for (const auto& [reader, standing] : subject.readers)
      readers.push_back(json::array({reader, standing.statement, static_cast<unsigned>(standing.evidence),
                                     standing.retired_by, standing.why, standing.reads}));
    const Policy& policy = subject.policy;
    all.push_back(
        json::array({name, static_cast<unsigned>(policy.carries), static_cast<unsigned>(policy.mode),
                     static_cast<unsigned>(policy.beside), std::move(versions), std::move(readers)}));
  }
  std::string bytes;
  json::to_msgpack(json::array({kForm, std::move(all)}), bytes);
  return bytes;
}

namespace {

bool ReadVersions(const json* from, Carries carries, const Limits& limits, std::vector<Version>& into) {
  if (from == nullptr || !from->is_array() || from->size() > kMostVersions) return false;
  for (const json& each : *from) {
    Version& version = into.emplace_back();
    FieldReader fields(each);
    fields.Text(version.schema, limits.bytes)
        .Number(version.language, 0xffffffffu)
        .Number(version.print, kUnbounded);
    if (!fields.ok() || version.schema.empty() != (carries == Carries::kLanguages)) return false;
  }
  return true;
}

bool ReadReaders(const json* from, const Catalogue::Bounds& bounds, std::map<std::string, Standing>& into) {
  if (from == nullptr || !from->is_array() || from->size() > bounds.readers) return false;
  for (const json& each : *from) {
    std::string name;
    Standing standing;
    FieldReader fields(each);
    fields.Text(name, bounds.name)
        .Number(standing.statement, kUnbounded)
        .Number(standing.evidence, static_cast<std::uint64_t>(Evidence::kRetired))
        .Text(standing.retired_by, bounds.name)
        .Text(standing.why, bounds.name);
    const json* reads = fields.Next();
    if (reads == nullptr || !reads->is_array() || reads->size() > kMostReads) return false;
    for (const json& number : *reads) {
      if (!number.is_number_unsigned() || number.get<std::uint64_t>() > 0xffffffffu) return false;
      standing.reads.insert(number.get<std::uint32_t>());
    }
    into[name] = std::move(standing);
  }
  return true;
}

}  // namespace

std::optional<Catalogue> Catalogue::Read(std::string_view bytes, Bounds bounds) {
  Catalogue read(bounds);
  if (bytes.empty()) return read;
  if (bytes.size() > bounds.bytes) return std::nullopt;
  json array = net::Unpack(bytes, 6);
  if (array.is_discarded()) return std::nullopt;
  FieldReader fields(array);
  std::uint64_t form = 0;
  const json* all = fields.Number(form, kForm).Next();
  if (form != kForm || all == nullptr || !all->is_array() || all->size() > bounds.subjects)
    return std::nullopt;
  for (const json& each : *all) {
    std::string name;
    Subject subject;
    FieldReader of(each);
    of.Text(name, bounds.name)
        .Number(subject.policy.carries, static_cast<std::uint64_t>(Carries::kLanguages))
        .Number(subject.policy.mode, static_cast<std::uint64_t>(Mode::kBoth))
        .Number(subject.policy.beside, static_cast<std::uint64_t>(Beside::kInUse));
    if (!of.ok() || !ReadVersions(of.Next(), subject.policy.carries, Limits{}, subject.versions) ||
        !ReadReaders(of.Next(), bounds, subject.readers))
      return std::nullopt;
    for (const Version& version : subject.versions) {
      if (version.schema.empty()) continue;
      auto parsed = Schema::Parse(version.schema);
      const Schema* schema = std::get_if<Schema>(&parsed);
      if (schema == nullptr || schema->text() != version.schema || schema->fingerprint() != version.print)
        return std::nullopt;
      read.parsed_[version.schema] = std::make_shared<const Schema>(std::get<Schema>(std::move(parsed)));
    }
    read.subjects_[name] = std::move(subject);
  }
  // One state, one way to write it.
  if (read.Bytes() != bytes) return std::nullopt;
  return read;
}

}  // namespace peatbend::compat
