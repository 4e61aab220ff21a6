#include "compat/librarian.h"

#include <fmt/format.h>

#include <algorithm>

#include "rations/quota_config.h"

namespace peatbend::compat {

using failover::Duration;
using failover::TimePoint;

namespace {

constexpr const char* kSubject = "rations";
constexpr Policy kPolicy{Carries::kLanguages, Mode::kReadersReadNew, Beside::kLast};
constexpr std::size_t kPiece = 256u << 10;            // bytes of a text in one message
constexpr std::chrono::milliseconds kAskAgain{300};   // another, for the text
constexpr std::chrono::milliseconds kAskLater{2000};  // after a text that was of no use

Answer Declared(Catalogue& it) {
  return it.subjects().contains(kSubject) ? Answer{} : it.Declare(kSubject, kPolicy);
}

// The book, and whom it retires: all of it or nothing.
Answer Publish(Catalogue& it, std::uint32_t version, const rations::QuotaTable& table,
               const std::string& by) {
  Catalogue next = it;
  Answer answer = Declared(next);
  if (!answer.yes()) return answer;
  const Version own{"", static_cast<std::uint32_t>(table.language_version), table.fingerprint};
  const auto& versions = next.subjects().at(kSubject).versions;
  if (versions.size() >= version && versions[version - 1] == own) return {};  // whom it retired may be back
  for (const rations::RetiredReader& one : table.retired_readers)
    if (answer.yes())
      answer = next.Retire(kSubject, one.reader, one.statement, "a book of " + by, one.reason);
  if (answer.yes())
    answer = next.Propose(kSubject, version, static_cast<std::uint32_t>(table.language_version),
                          table.fingerprint);
  if (answer.yes()) it = std::move(next);
  return answer;
}

}  // namespace

Librarian::Librarian(std::string self, int reads, Book own, std::uint64_t random, Published& published,
                     Calls calls)
    : self_(std::move(self)),
      reads_(reads),
      random_(random),
      published_(published),
      calls_(std::move(calls)),
      to_propose_(own),
      read_(own.table->fingerprint),
      holding_(own.table->fingerprint) {
  Shelve(std::move(own));
}

const Subject* Librarian::subject() const {
  auto at = published_.known().subjects().find(kSubject);
  return at == published_.known().subjects().end() ? nullptr : &at->second;
}

std::uint32_t Librarian::accepted() const {
  return subject() == nullptr ? 0 : static_cast<std::uint32_t>(subject()->versions.size());
}

const Standing* Librarian::StandingOf(const std::string& reader) const {
  if (subject() == nullptr) return nullptr;
  auto at = subject()->readers.find(reader);
  return at == subject()->readers.end() ? nullptr : &at->second;
}

const Librarian::Book* Librarian::Find(std::uint64_t print) const {
  auto at =
      std::ranges::find_if(shelf_, [print](const Book& one) { return one.table->fingerprint == print; });
  return at == shelf_.end() ? nullptr : &*at;
}

void Librarian::Shelve(Book book) {
  std::erase_if(shelf_, [&](const Book& one) { return one.table->fingerprint == book.table->fingerprint; });
  shelf_.push_front(std::move(book));
  if (shelf_.size() <= kShelf) return;
  auto last = shelf_.back().table->fingerprint == holding_ ? shelf_.end() - 2 : shelf_.end() - 1;
  shelf_.erase(last);
}

void Librarian::Propose(Book book) {
  std::uint64_t print = book.table->fingerprint;
  // A file that stays as it was read last is no new wish, but where it was refused.
  if (std::exchange(read_, print) == print && refused_print_ != print) return;
  Shelve(book);
  to_propose_ = std::move(book);
  at_start_ = false;
  upon_ = accepted();
  due_ = {};
}

// ---- As a reader ------------------------------------------------------------------------------------------

void Librarian::Join() {
  std::set<std::uint32_t> reads;
  for (int language = 1; language <= reads_; ++language) reads.insert(static_cast<std::uint32_t>(language));
  if (statement_ == 0) {
    // The same statement again says nothing new; another is above the last.
    const Standing* standing = StandingOf(self_);
    bool same = standing != nullptr && standing->evidence != Evidence::kRetired && standing->reads == reads;
    statement_ = standing == nullptr ? 1 : standing->statement + (same ? 0 : 1);
  }
  reader_ = Reader::kAsked;
  published_.Bring(
      "",
      [self = self_, statement = statement_, reads](Catalogue& it) {
        Answer declared = Declared(it);
        return declared.yes() ? it.Join(kSubject, self, statement, reads) : declared;
      },
      [this](const Answer& answer) { Joined(answer); });
}

void Librarian::Joined(const Answer& answer) {
  due_ = {};
  if (answer.yes()) {
    reader_ = Reader::kReads;
    return;
  }
  const Objection& first = answer.objections[0];
  if (first.rule == "statement" || first.rule == "reader") {
    const Standing* standing = StandingOf(self_);
    if (standing != nullptr && standing->statement >= statement_) {
      statement_ = standing->statement + 1;
      reader_ = Reader::kToAsk;
      return;
    }
  }
  reader_ = Reader::kMayNot;
  judged_ = accepted();
  calls_.log("this router may not read the books of its fleet: " + first.Text());
}

// ---- As a publisher ---------------------------------------------------------------------------------------

void Librarian::Refuse(const std::string& what, std::uint64_t print, const Answer& answer) {
  refused_print_ = print;
  refused_ = what + " refused";
  for (const Objection& one : answer.objections) {
    refused_ += ": " + one.Text();
    for (const std::string& name : one.readers) {
      if (const Standing* standing = StandingOf(name); standing != nullptr)
        refused_ += fmt::format("; {}: statement {}, {}", name, standing->statement,
                                kEvidenceNames[static_cast<int>(standing->evidence)]);
    }
  }
  calls_.log(refused_ + "; the former holds");
}

void Librarian::ProposeNext() {
  if (!to_propose_ || proposing_ || published_.news() == 0) return;
  if (reader_ != Reader::kReads && reader_ != Reader::kMayNot) return;
  Book book = *to_propose_;
  std::uint64_t print = book.table->fingerprint;
  const Subject* of = subject();
  bool last = of != nullptr && !of->versions.empty() && of->versions.back().print == print;
  // A file that was replaced at another router is no wish to go back.
  bool former = at_start_ && of != nullptr &&
                std::ranges::any_of(of->versions, [print](const Version& one) { return one.print == print; });
  if (last || former) {
    to_propose_.reset();
    if (former && !last)
      calls_.log(fmt::format("book {:016x} of the file was in force before; not proposed", print));
    return;
  }
  proposing_ = true;
  std::uint32_t version = (at_start_ ? accepted() : upon_) + 1;
  published_.Bring(
      "",
      [version, table = book.table, by = self_](Catalogue& it) { return Publish(it, version, *table, by); },
      [this, version, print](const Answer& answer) {
        proposing_ = false;
        due_ = {};
        if (to_propose_ && to_propose_->table->fingerprint == print) to_propose_.reset();
        std::string what = fmt::format("book {:016x} as version {}", print, version);
        if (!answer.yes()) return Refuse(what, print, answer);
        refused_.clear();
        refused_print_ = 0;
        calls_.log(what + " accepted");
      });
}

// ---- What is in force -------------------------------------------------------------------------------------

void Librarian::Hold(TimePoint now) {
  std::uint32_t version = accepted();
  if (version == 0 || version == held_) return;
  const Version& last = subject()->versions.back();
  if (last.language > static_cast<std::uint32_t>(reads_)) {
    if (std::exchange(unread_, version) != version)
      calls_.log(
          fmt::format("book version {} is in language {}, which this router does not read; {:016x} stays",
                      version, last.language, holding_));
    return;
  }
  const Book* book = Find(last.print);
  if (book == nullptr) {
    if (wanted_ != last.print) {
      wanted_ = last.print;
      from_.clear();
      without_ = 0;
      Fetch(now);
    }
    return;
  }
  wanted_ = 0;
  held_ = version;
  calls_.log(fmt::format("book version {} ({:016x}) holds", version, last.print));
  if (std::exchange(holding_, last.print) != last.print) calls_.hold(book->table);
}

// Asks another router for the text.
void Librarian::Fetch(TimePoint now) {
  fetch_at_ = now + kAskAgain;
  coming_.clear();
  std::vector<std::string> others = calls_.others();
  if (others.empty()) return;
  auto at = std::ranges::find(others, from_);
  std::size_t next = at == others.end() ? random_() % others.size()
                                        : (static_cast<std::size_t>(at - others.begin()) + 1) % others.size();
  from_ = others[next];
  Say ask;
  ask.kind = SayKind::kAskBook;
  ask.print = wanted_;
  calls_.send(from_, ask);
}

void Librarian::Take(TimePoint now, const std::string& from, const Say& say) {
  if (say.kind == SayKind::kAskBook) {
    Say answer;
    answer.kind = SayKind::kBook;
    answer.print = say.print;
    answer.at = say.at;
    const Book* book = Find(say.print);
    if (book != nullptr && say.at < book->text.size()) {
      answer.total = book->text.size();
      answer.bytes = book->text.substr(say.at, kPiece);
    }
    return calls_.send(from, answer);
  }
  if (say.kind != SayKind::kBook || wanted_ == 0 || say.print != wanted_ || from != from_) return;
  if (say.total == 0) {  // it lacks it too; all do until one has fetched it
    if (++without_ < calls_.others().size()) return Fetch(now);
    without_ = 0;
    return;
  }
  if (say.at != coming_.size() || say.bytes.empty() || say.total > rations::kMaxQuotaConfigBytes) return;
  coming_ += say.bytes;
  if (coming_.size() >= say.total) return Arrived(now, from);
  Say ask;
  ask.kind = SayKind::kAskBook;
  ask.print = wanted_;
  ask.at = coming_.size();
  fetch_at_ = now + kAskAgain;
  calls_.send(from, ask);
}

void Librarian::Arrived(TimePoint now, const std::string& from) {
  std::string text = std::exchange(coming_, {}), why;
  Table table = calls_.read(text, why);
  if (table != nullptr && table->fingerprint == wanted_) {
    Shelve({std::move(text), std::move(table)});
    return Hold(now);
  }
  if (why.empty()) why = "under this router's settings it is another";
  calls_.log(fmt::format("the text of book {:016x} from {} is of no use here: {}", wanted_, from, why));
  fetch_at_ = now + kAskLater;
}

void Librarian::Step(TimePoint now) {
  due_ = TimePoint::max();
  const Standing* own = StandingOf(self_);
  if (reader_ == Reader::kReads && own != nullptr && own->evidence == Evidence::kRetired &&
      own->statement >= statement_) {
    calls_.log(fmt::format("retired as a reader by {}: {}; joins anew", own->retired_by, own->why));
    statement_ = own->statement + 1;
    reader_ = Reader::kToAsk;
  }
  if (reader_ == Reader::kMayNot && accepted() != judged_) reader_ = Reader::kToAsk;
  if (reader_ == Reader::kToAsk) Join();
  Hold(now);
  if (wanted_ != 0 && now >= fetch_at_) Fetch(now);
  ProposeNext();
}

}  // namespace peatbend::compat
