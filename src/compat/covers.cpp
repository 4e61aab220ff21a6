#include "compat/covers.h"

#include <algorithm>
#include <utility>

#include "base/text.h"

namespace peatbend::compat {
namespace {

constexpr std::size_t kLongestName = 128;  // as Catalogue::Bounds has it

const Standing* StandingOf(const Catalogue& catalogue, const std::string& subject,
                           const std::string& reader) {
  auto of = catalogue.subjects().find(subject);
  if (of == catalogue.subjects().end()) return nullptr;
  auto at = of->second.readers.find(reader);
  return at == of->second.readers.end() ? nullptr : &at->second;
}

}  // namespace

Change::Command ProposalOf(const Covering& of) {
  return [of](Catalogue& it) {
    Answer answer = it.Declare(of.subject, of.policy);
    for (const Retirement& one : of.retire) {
      const Standing* standing = StandingOf(it, of.subject, one.reader);
      bool anew = standing != nullptr && standing->statement > one.statement;
      if (answer.yes() && !anew)
        answer = it.Retire(of.subject, one.reader, one.statement, "an operator", one.why);
    }
    for (std::size_t i = 0; i < of.schemas.size() && answer.yes(); ++i)
      answer = it.Propose(of.subject, of.first + static_cast<std::uint32_t>(i), of.schemas[i]);
    return answer;
  };
}

std::uint32_t FirstNotAccepted(const Covering& of, const Catalogue& known) {
  auto at = known.subjects().find(of.subject);
  for (std::size_t i = 0; i < of.schemas.size(); ++i) {
    std::uint32_t number = of.first + static_cast<std::uint32_t>(i);
    if (at == known.subjects().end() || number > at->second.versions.size()) return number;
    auto schema = Schema::Parse(of.schemas[i]);
    const Schema* read = std::get_if<Schema>(&schema);
    if (read == nullptr || read->text() != at->second.versions[number - 1].schema) return number;
  }
  return 0;
}

Change::Command JoinOf(const std::string& subject, const Statement& statement) {
  return [subject, reader = std::string(statement.reader), reads = statement.reads,
          number = statement.number](Catalogue& it) {
    if (number) return it.Join(subject, reader, *number, {reads});
    const Standing* standing = StandingOf(it, subject, reader);
    if (standing == nullptr) return it.Join(subject, reader, 1, {reads});
    std::set<std::uint32_t> all{reads};
    if (standing->evidence != Evidence::kRetired) {
      if (standing->reads.contains(reads)) return Answer{};
      all.insert(standing->reads.begin(), standing->reads.end());
    }
    return it.Join(subject, reader, standing->statement + 1, std::move(all));
  };
}

Covers::Covers(std::vector<Covering> all, std::size_t classes, std::size_t tenants, Bounds bounds)
    : all_(std::move(all)),
      bounds_(bounds),
      tenants_(tenants),
      table_(classes * (tenants + 1), -1),
      views_(all_.size()) {
  for (std::size_t place = 0; place < all_.size(); ++place) {
    for (int cls : all_[place].classes) {
      for (int tenant = -1; tenant < static_cast<int>(tenants); ++tenant) {
        const std::vector<int>& named = all_[place].tenants;
        if (named.empty() || std::ranges::find(named, tenant) != named.end())
          table_[Cell(cls, tenant)] = static_cast<std::int16_t>(place);
      }
    }
  }
}

void Covers::Learn(const Catalogue& known) {
  ++news_;
  known_ = known;
  for (std::size_t place = 0; place < all_.size(); ++place) {
    View view;
    auto at = known_.subjects().find(all_[place].subject);
    if (at != known_.subjects().end()) {
      view.known = true;
      view.accepted = static_cast<std::uint32_t>(at->second.versions.size());
      for (const auto& [name, standing] : at->second.readers)
        if (standing.evidence != Evidence::kRetired)
          view.readers.push_back({name, {standing.reads.begin(), standing.reads.end()}});
    }
    views_[place] = std::move(view);
  }
}

void Covers::Propose(std::size_t place, const Covering& anew) {
  Covering& of = all_[place];
  of.first = anew.first;
  of.schemas = anew.schemas;
  of.retire = anew.retire;
}

bool Covers::View::Stands(std::string_view reader, std::uint32_t number) const {
  auto at = std::ranges::lower_bound(readers, reader, {},
                                     [](const Reader& one) { return std::string_view(one.name); });
  return at != readers.end() && at->name == reader && std::ranges::binary_search(at->reads, number);
}

Covers::Verdict Covers::Write(int place, std::string_view version) const {
  const View& view = views_[static_cast<std::size_t>(place)];
  std::uint32_t number = 0;
  if (!ParseNumber(version, number) || number == 0) return {Word::kNoVersion};
  if (!view.known) return {Word::kUnknown};
  return {number <= view.accepted ? Word::kMay : Word::kNotAccepted};
}

std::optional<Statement> Covers::StatementOf(std::string_view reader, std::string_view reads,
                                             std::string_view statement) {
  Statement said{reader, 0, {}};
  std::uint64_t number = 0;
  if (!ParseNumber(reads, said.reads) || said.reads == 0) return std::nullopt;
  if (!statement.empty() && !ParseNumber(statement, number)) return std::nullopt;
  if (!statement.empty()) said.number = number;
  return said;
}

Covers::Verdict Covers::Read(failover::TimePoint now, int place, std::string_view reader,
                             std::string_view reads, std::string_view statement) {
  if (reader.empty()) return {all_[static_cast<std::size_t>(place)].unstated ? Word::kMay : Word::kUnstated};
  auto said = StatementOf(reader, reads, statement);
  bool unnumbered = statement.empty() && !all_[static_cast<std::size_t>(place)].statement.empty();
  if (!said || unnumbered) return {Word::kNoVersion};
  const View& view = views_[static_cast<std::size_t>(place)];
  if (view.Stands(reader, said->reads)) return {};
  if (!view.known) return {Word::kUnknown};
  if (reader.size() > kLongestName) return {Word::kRefused};
  return Judge(now, place, *said);
}

// One that does not stand by what is known. What is refused by that is refused by what stands, or the other
// way round only until news comes; so nothing is brought that is known to be refused.
Covers::Verdict Covers::Judge(failover::TimePoint now, int place, const Statement& statement) {
  Name name{place, std::string(statement.reader), statement.reads, statement.number};
  auto at = waiting_.find(name);
  if (at != waiting_.end() && at->second.brought) return {Word::kJoining};
  if (at != waiting_.end() && (at->second.news == news_ || now < at->second.until)) return {Word::kRefused};
  if (now - second_ >= std::chrono::seconds(1)) {
    second_ = now;
    judged_ = 0;
  }
  if (joining_ >= bounds_.joining || judged_ >= bounds_.judged_a_second) return {Word::kBusy};
  ++judged_;
  if (at == waiting_.end()) {
    if (refused() >= bounds_.refused)
      std::erase_if(waiting_, [](const auto& one) { return !one.second.brought; });
    at = waiting_.try_emplace(std::move(name)).first;
  }
  Catalogue copy = known_;
  Answer answer = JoinOf(all_[static_cast<std::size_t>(place)].subject, statement)(copy);
  if (answer.yes()) {
    at->second.brought = true;
    ++joining_;
    return {Word::kBring};
  }
  Refuse(now, at->second);
  return {Word::kRefused, answer.objections.front().Text()};
}

void Covers::Refuse(failover::TimePoint now, Waiting& waiting) {
  waiting.news = news_;
  waiting.until = now + bounds_.again;
}

void Covers::Told(failover::TimePoint now, int place, const Statement& statement, const Answer& answer) {
  auto at = waiting_.find({place, std::string(statement.reader), statement.reads, statement.number});
  if (at == waiting_.end() || !std::exchange(at->second.brought, false)) return;
  --joining_;
  if (answer.yes() || answer.objections.front().rule == "busy") {
    waiting_.erase(at);  // where what is known does not say so at the next read, it is brought again
  } else {
    Refuse(now, at->second);
  }
}

}  // namespace peatbend::compat
