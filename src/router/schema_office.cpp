#include "router/schema_office.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "peers/peers.h"
#include "protocol/facts.h"

namespace peatbend::net {
namespace {

using compat::SubjectConfig;
using compat::UpdateResult;

// When a client that is rejected is told to come back: what may be otherwise in a moment; what somebody must
// publish first. What will not be otherwise without a change at the client: as late as the settings allow.
constexpr std::chrono::milliseconds kSoon{200}, kLater{1000};
// When a proposal is brought again that found too much waiting.
constexpr std::chrono::seconds kBringAgain{1};
constexpr const char* kBusy = "busy";  // the rule where too much waits to be brought
constexpr std::size_t kMostObjections = 8, kLongestLine = 2000;  // that a line tells; bytes, about

std::string_view FactOf(const Request& request, const std::string& name) {
  std::string_view value;
  if (!name.empty()) FindFact(request.facts, name, value);
  return value;
}

std::string Why(const UpdateResult& answer) {
  std::string text;
  for (std::size_t i = 0; i < std::min(answer.incompatibilities.size(), kMostObjections); ++i)
    text += (i == 0 ? "" : "; ") + answer.incompatibilities[i].Text();
  if (answer.incompatibilities.size() > kMostObjections)
    text += fmt::format("; and {} more", answer.incompatibilities.size() - kMostObjections);
  return text;
}

// By whose retiring it would go: each reader that it names, with its statement.
std::string Named(const UpdateResult& answer, const compat::RegistryState& known,
                  const std::string& subject) {
  std::set<std::string> names;
  for (const compat::Incompatibility& each : answer.incompatibilities)
    names.insert(each.readers.begin(), each.readers.end());
  auto of = known.subjects().find(subject);
  std::string text;
  for (const std::string& name : names) {
    if (of == known.subjects().end() || text.size() > kLongestLine) continue;
    auto at = of->second.readers.find(name);
    if (at != of->second.readers.end())
      text += fmt::format("; {}: statement {}, {}", name, at->second.registration,
                          compat::kReaderStatusNames[static_cast<int>(at->second.status)]);
  }
  return text;
}

// But for what is proposed.
SubjectConfig Rules(SubjectConfig of) {
  of.schemas.clear();
  of.retirements.clear();
  of.first_version = 1;
  return of;
}

bool Proposes(const SubjectConfig& of) { return !of.folder.empty() || !of.retirements.empty(); }

}  // namespace

SchemaOffice::SchemaOffice(event_base* base, const Settings& settings, std::vector<SubjectConfig> subjects,
                           compat::RegistryClient& published, Log& log)
    : settings_(settings),
      published_(&published),
      log_(log),
      covers_(std::move(subjects), settings.classes.size(), settings.tenants.size()),
      proposals_(covers_.subjects().size()),
      again_(base, [this] { Bring(); }) {
  for (std::size_t place = 0; place < proposals_.size(); ++place)
    proposals_[place].waits = Proposes(covers_.subjects()[place]);
  again_.Activate();
}

void SchemaOffice::Hush() {
  published_ = nullptr;
  again_.Stop();
}

void SchemaOffice::Refresh() {
  if (published_ == nullptr || published_->revision() == news_) return;
  news_ = published_->revision();
  covers_.UpdateKnown(published_->known());
}

// ---- Requests -----------------------------------------------------------------------------------------

void SchemaOffice::Check(const Request& request, RequestEvent& event) {
  int place = covers_.SubjectOf(request.cls, request.tenant);
  if (place < 0) return;
  Refresh();
  const SubjectConfig& of = covers_.subjects()[static_cast<std::size_t>(place)];
  if (request.write) {
    ++writes_;
    Word word = covers_.CheckWrite(place, FactOf(request, of.version_fact)).result;
    ++counts_[static_cast<std::size_t>(word)];
    if (word == Word::kAllowed) return;
    std::string_view version = FactOf(request, of.version_fact).substr(0, 32);
    log_.Line(
        "payload rejected",
        fmt::format("{} version {}, of {}: {}", of.subject, version.empty() ? "(none)" : version,
                    request.tenant < 0 ? "a franchisee that the settings do not name"
                                       : settings_.tenants[static_cast<std::size_t>(request.tenant)].name,
                    word == Word::kNoVersion     ? "no version is named"
                    : word == Word::kNotAccepted ? "has not been accepted"
                                                 : "nothing is known of the subject yet"));
    return Reject(word, event);
  }
  ++reads_;
  std::string_view reader = FactOf(request, of.reader_fact), reads = FactOf(request, of.reader_version_fact);
  std::string_view statement = FactOf(request, of.registration_fact);
  compat::SchemaCheck::Verdict verdict =
      covers_.CheckRead(peers::Peers::Now(), place, reader, reads, statement);
  ++counts_[static_cast<std::size_t>(verdict.result)];
  if (verdict.result == Word::kAllowed) return;
  if (verdict.result == Word::kRegister)
    Join(place, *compat::SchemaCheck::ParseRegistration(reader, reads, statement));
  if (!verdict.reason.empty())
    log_.Line("reader refused",
              fmt::format("{} may not read with version {}: {}", reader, reads, verdict.reason));
  Reject(verdict.result, event);
}

void SchemaOffice::Reject(Word word, RequestEvent& event) const {
  bool soon = word == Word::kUnknownSubject || word == Word::kRegister || word == Word::kRegistering ||
              word == Word::kBusy;
  event.quota_verdict = QuotaVerdict::kReject;
  event.retry_after = soon                         ? Duration(kSoon)
                      : word == Word::kNotAccepted ? Duration(kLater)
                                                   : settings_.max_retry_after;
}

void SchemaOffice::Join(int place, const compat::Registration& statement) {
  const std::string& subject = covers_.subjects()[static_cast<std::size_t>(place)].subject;
  auto told = [this, place, reader = std::string(statement.reader), reads = statement.version,
               number = statement.number](const UpdateResult& answer) {
    covers_.OnRegistered(peers::Peers::Now(), place, {reader, reads, number}, answer);
    if (!answer.ok() && answer.incompatibilities.front().rule != kBusy)
      log_.Line("reader refused",
                fmt::format("{} may not read with version {}: {}", reader, reads, Why(answer)));
  };
  if (published_ == nullptr)
    return covers_.OnRegistered(peers::Peers::Now(), place, statement,
                                {{{subject, "", kBusy, "hands over", 0, {}}}});
  published_->Submit(fmt::format("{} reads {} with version {}", statement.reader, subject, statement.version),
                     compat::MakeRegistration(subject, statement), std::move(told));
}

// ---- Proposals ----------------------------------------------------------------------------------------

bool SchemaOffice::Propose(const std::vector<SubjectConfig>& subjects) {
  bool same = std::ranges::equal(subjects, covers_.subjects(), {}, Rules, Rules);
  for (std::size_t place = 0; same && place < subjects.size(); ++place) {
    covers_.SetProposal(place, subjects[place]);
    proposals_[place].waits = Proposes(subjects[place]);
  }
  if (same) Bring();
  return same;
}

void SchemaOffice::Bring() {
  auto at = std::ranges::find_if(proposals_, &Proposal::waits);
  if (published_ == nullptr || bringing_ || at == proposals_.end()) return;
  bringing_ = true;
  at->waits = false;
  ++proposed_;
  auto place = static_cast<std::size_t>(at - proposals_.begin());
  const SubjectConfig& of = covers_.subjects()[place];
  auto last = of.first_version + static_cast<std::uint32_t>(of.schemas.size()) - 1;
  published_->Submit(fmt::format("{}, versions {} to {}", of.subject, of.first_version, last),
                     compat::MakeProposal(of),
                     [this, place](const UpdateResult& answer) { Answered(place, answer); });
}

void SchemaOffice::Answered(std::size_t place, const UpdateResult& answer) {
  bringing_ = false;
  Proposal& proposal = proposals_[place];
  const SubjectConfig& of = covers_.subjects()[place];
  if (!answer.ok() && answer.incompatibilities.front().rule == kBusy) {
    proposal.waits = true;
    return again_.Set(kBringAgain);
  }
  proposal.refused = Why(answer);
  if (published_ != nullptr) proposal.refused += Named(answer, published_->known(), of.subject);
  if (answer.ok()) {
    log_.Line("schemas", fmt::format("{}: accepted up to version {}", of.subject,
                                     of.first_version + static_cast<std::uint32_t>(of.schemas.size()) - 1));
  } else {
    log_.Line("schemas refused", proposal.refused);
  }
  again_.Activate();
}

// ---- Figures ------------------------------------------------------------------------------------------

std::vector<std::pair<std::string, std::uint64_t>> SchemaOffice::Figures() {
  Refresh();
  auto count = [this](Word word) { return counts_[static_cast<std::size_t>(word)]; };
  std::vector<std::pair<std::string, std::uint64_t>> all = {
      {"writes", writes_},
      {"reads", reads_},
      {"within", count(Word::kAllowed)},
      {"no_version", count(Word::kNoVersion)},
      {"not_accepted", count(Word::kNotAccepted)},
      {"unknown", count(Word::kUnknownSubject)},
      {"unstated", count(Word::kUnnamedReader)},
      {"joins", count(Word::kRegister)},
      {"joining", count(Word::kRegistering)},
      {"refused", count(Word::kRejected)},
      {"busy", count(Word::kBusy)},
      {"readers_waiting", covers_.pending_registrations()},
      {"readers_refused", covers_.rejected_registrations()},
      {"proposals", proposed_}};
  for (std::size_t place = 0; place < covers_.subjects().size(); ++place) {
    const std::string& subject = covers_.subjects()[place].subject;
    all.emplace_back(subject + ".accepted", covers_.accepted_versions(place));
    all.emplace_back(subject + ".readers", covers_.readers(place));
  }
  return all;
}

std::vector<std::pair<std::string, std::string>> SchemaOffice::Refused() const {
  std::vector<std::pair<std::string, std::string>> all;
  for (std::size_t place = 0; place < proposals_.size(); ++place)
    if (!proposals_[place].refused.empty())
      all.emplace_back(covers_.subjects()[place].subject, proposals_[place].refused);
  return all;
}

}  // namespace peatbend::net
