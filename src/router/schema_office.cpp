#include "router/schema_office.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "peers/peers.h"
#include "protocol/facts.h"

namespace peatbend::net {
namespace {

using compat::Answer;
using compat::Covering;

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

std::string Why(const Answer& answer) {
  std::string text;
  for (std::size_t i = 0; i < std::min(answer.objections.size(), kMostObjections); ++i)
    text += (i == 0 ? "" : "; ") + answer.objections[i].Text();
  if (answer.objections.size() > kMostObjections)
    text += fmt::format("; and {} more", answer.objections.size() - kMostObjections);
  return text;
}

// By whose retiring it would go: each reader that it names, with its statement.
std::string Named(const Answer& answer, const compat::Catalogue& known, const std::string& subject) {
  std::set<std::string> names;
  for (const compat::Objection& each : answer.objections)
    names.insert(each.readers.begin(), each.readers.end());
  auto of = known.subjects().find(subject);
  std::string text;
  for (const std::string& name : names) {
    if (of == known.subjects().end() || text.size() > kLongestLine) continue;
    auto at = of->second.readers.find(name);
    if (at != of->second.readers.end())
      text += fmt::format("; {}: statement {}, {}", name, at->second.statement,
                          compat::kEvidenceNames[static_cast<int>(at->second.evidence)]);
  }
  return text;
}

// But for what is proposed.
Covering Rules(Covering of) {
  of.schemas.clear();
  of.retire.clear();
  of.first = 1;
  return of;
}

bool Proposes(const Covering& of) { return !of.folder.empty() || !of.retire.empty(); }

}  // namespace

SchemaOffice::SchemaOffice(event_base* base, const Settings& settings, std::vector<Covering> subjects,
                           compat::Published& published, Log& log)
    : settings_(settings),
      published_(&published),
      log_(log),
      covers_(std::move(subjects), settings.classes.size(), settings.tenants.size()),
      proposals_(covers_.all().size()),
      again_(base, [this] { Bring(); }) {
  for (std::size_t place = 0; place < proposals_.size(); ++place)
    proposals_[place].waits = Proposes(covers_.all()[place]);
  again_.SetNow();
}

void SchemaOffice::Hush() {
  published_ = nullptr;
  again_.Stop();
}

void SchemaOffice::Refresh() {
  if (published_ == nullptr || published_->news() == news_) return;
  news_ = published_->news();
  covers_.Learn(published_->known());
}

// ---- Requests -----------------------------------------------------------------------------------------

void SchemaOffice::Judge(const Request& request, RequestEvent& event) {
  int place = covers_.Of(request.cls, request.tenant);
  if (place < 0) return;
  Refresh();
  const Covering& of = covers_.all()[static_cast<std::size_t>(place)];
  if (request.write) {
    ++writes_;
    Word word = covers_.Write(place, FactOf(request, of.version)).word;
    ++counts_[static_cast<std::size_t>(word)];
    if (word == Word::kMay) return;
    std::string_view version = FactOf(request, of.version).substr(0, 32);
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
  std::string_view reader = FactOf(request, of.reader), reads = FactOf(request, of.reads);
  std::string_view statement = FactOf(request, of.statement);
  compat::Covers::Verdict verdict = covers_.Read(peers::Peers::Now(), place, reader, reads, statement);
  ++counts_[static_cast<std::size_t>(verdict.word)];
  if (verdict.word == Word::kMay) return;
  if (verdict.word == Word::kBring) Join(place, *compat::Covers::StatementOf(reader, reads, statement));
  if (!verdict.why.empty())
    log_.Line("reader refused",
              fmt::format("{} may not read with version {}: {}", reader, reads, verdict.why));
  Reject(verdict.word, event);
}

void SchemaOffice::Reject(Word word, RequestEvent& event) const {
  bool soon = word == Word::kUnknown || word == Word::kBring || word == Word::kJoining || word == Word::kBusy;
  event.quota_verdict = QuotaVerdict::kReject;
  event.retry_after = soon                         ? Duration(kSoon)
                      : word == Word::kNotAccepted ? Duration(kLater)
                                                   : settings_.max_retry_after;
}

void SchemaOffice::Join(int place, const compat::Statement& statement) {
  const std::string& subject = covers_.all()[static_cast<std::size_t>(place)].subject;
  auto told = [this, place, reader = std::string(statement.reader), reads = statement.reads,
               number = statement.number](const Answer& answer) {
    covers_.Told(peers::Peers::Now(), place, {reader, reads, number}, answer);
    if (!answer.yes() && answer.objections.front().rule != kBusy)
      log_.Line("reader refused",
                fmt::format("{} may not read with version {}: {}", reader, reads, Why(answer)));
  };
  if (published_ == nullptr)
    return covers_.Told(peers::Peers::Now(), place, statement, {{{subject, "", kBusy, "hands over", 0, {}}}});
  published_->Bring(fmt::format("{} reads {} with version {}", statement.reader, subject, statement.reads),
                    compat::JoinOf(subject, statement), std::move(told));
}

// ---- Proposals ----------------------------------------------------------------------------------------

bool SchemaOffice::Propose(const std::vector<Covering>& subjects) {
  bool same = std::ranges::equal(subjects, covers_.all(), {}, Rules, Rules);
  for (std::size_t place = 0; same && place < subjects.size(); ++place) {
    covers_.Propose(place, subjects[place]);
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
  const Covering& of = covers_.all()[place];
  auto last = of.first + static_cast<std::uint32_t>(of.schemas.size()) - 1;
  published_->Bring(fmt::format("{}, versions {} to {}", of.subject, of.first, last), compat::ProposalOf(of),
                    [this, place](const Answer& answer) { Answered(place, answer); });
}

void SchemaOffice::Answered(std::size_t place, const Answer& answer) {
  bringing_ = false;
  Proposal& proposal = proposals_[place];
  const Covering& of = covers_.all()[place];
  if (!answer.yes() && answer.objections.front().rule == kBusy) {
    proposal.waits = true;
    return again_.Set(kBringAgain);
  }
  proposal.refused = Why(answer);
  if (published_ != nullptr) proposal.refused += Named(answer, published_->known(), of.subject);
  if (answer.yes()) {
    log_.Line("schemas", fmt::format("{}: accepted up to version {}", of.subject,
                                     of.first + static_cast<std::uint32_t>(of.schemas.size()) - 1));
  } else {
    log_.Line("schemas refused", proposal.refused);
  }
  again_.SetNow();
}

// ---- Figures ------------------------------------------------------------------------------------------

std::vector<std::pair<std::string, std::uint64_t>> SchemaOffice::Figures() {
  Refresh();
  auto count = [this](Word word) { return counts_[static_cast<std::size_t>(word)]; };
  std::vector<std::pair<std::string, std::uint64_t>> all = {{"writes", writes_},
                                                            {"reads", reads_},
                                                            {"within", count(Word::kMay)},
                                                            {"no_version", count(Word::kNoVersion)},
                                                            {"not_accepted", count(Word::kNotAccepted)},
                                                            {"unknown", count(Word::kUnknown)},
                                                            {"unstated", count(Word::kUnstated)},
                                                            {"joins", count(Word::kBring)},
                                                            {"joining", count(Word::kJoining)},
                                                            {"refused", count(Word::kRefused)},
                                                            {"busy", count(Word::kBusy)},
                                                            {"readers_waiting", covers_.joining()},
                                                            {"readers_refused", covers_.refused()},
                                                            {"proposals", proposed_}};
  for (std::size_t place = 0; place < covers_.all().size(); ++place) {
    const std::string& subject = covers_.all()[place].subject;
    all.emplace_back(subject + ".accepted", covers_.accepted(place));
    all.emplace_back(subject + ".readers", covers_.readers(place));
  }
  return all;
}

std::vector<std::pair<std::string, std::string>> SchemaOffice::Refused() const {
  std::vector<std::pair<std::string, std::string>> all;
  for (std::size_t place = 0; place < proposals_.size(); ++place)
    if (!proposals_[place].refused.empty())
      all.emplace_back(covers_.all()[place].subject, proposals_[place].refused);
  return all;
}

}  // namespace peatbend::net
