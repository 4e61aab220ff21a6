// A router's part in books of rations that the fleet agrees on: it joins their readers, proposes its own, and
// fetches the text of the one that was accepted. Which is accepted is the catalogue's: subject "rations", by
// the language that each reader reads. Free of I/O and clocks; one owner, one thread.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "compat/published.h"
#include "compat/wire.h"
#include "failover/record.h"
#include "rations/quota_table.h"

namespace peatbend::compat {

class Librarian {
 public:
  using Table = std::shared_ptr<const rations::QuotaTable>;
  struct Book {
    std::string text;
    Table table;
  };
  struct Calls {
    // The table of a text under this router's settings; null, and why.
    std::function<Table(const std::string& text, std::string& why)> read;
    std::function<void(Table)> hold;
    std::function<void(const std::string& text)> log;
    std::function<void(const std::string& router, const Say& say)> send;
    std::function<std::vector<std::string>()> others;  // that seem to be there
  };
  // `reads`: the highest version of the language that this router reads; it reads those before too. `own`
  // holds until another is agreed on. `published` outlives it.
  Librarian(std::string self, int reads, Book own, std::uint64_t random, Published& published, Calls calls);

  // An operator's word: this book is to be in force.
  void Propose(Book book);
  void Take(failover::TimePoint now, const std::string& from, const Say& say);
  // With each news of the catalogue, and when it is due.
  void Step(failover::TimePoint now);
  failover::TimePoint Due() const { return wanted_ != 0 ? std::min(due_, fetch_at_) : due_; }

  std::uint32_t accepted() const;                // the last version; 0: none
  std::uint32_t holds() const { return held_; }  // here; 0: one that was not agreed on
  const std::string& refused() const { return refused_; }

 private:
  enum class Reader { kToAsk, kAsked, kReads, kMayNot };
  const Subject* subject() const;
  const Standing* StandingOf(const std::string& reader) const;
  void Join();
  void Joined(const Answer& answer);
  void ProposeNext();
  void Refuse(const std::string& what, std::uint64_t print, const Answer& answer);
  void Hold(failover::TimePoint now);
  void Fetch(failover::TimePoint now);
  void Arrived(failover::TimePoint now, const std::string& from);
  const Book* Find(std::uint64_t print) const;
  void Shelve(Book book);

  static constexpr std::size_t kShelf = 4;  // books kept
  std::string self_;
  int reads_;
  std::mt19937_64 random_;
  Published& published_;
  Calls calls_;

  Reader reader_ = Reader::kToAsk;
  std::uint64_t statement_ = 0;
  std::uint32_t judged_ = 0;  // accepted versions when it was told that it may not read

  std::deque<Book> shelf_;  // the last first
  std::optional<Book> to_propose_;
  std::uint64_t read_;               // print of the file as it was read last
  std::uint64_t refused_print_ = 0;  // of the book that was refused last
  bool at_start_ = true, proposing_ = false;
  std::uint32_t upon_ = 0;  // accepted versions that were known when the operator spoke
  std::string refused_;

  std::uint64_t holding_;                // print of the table in force here
  std::uint32_t held_ = 0, unread_ = 0;  // versions: in force here; that cannot be read here
  std::uint64_t wanted_ = 0;             // print of the text that is fetched
  std::string coming_, from_;
  std::size_t without_ = 0;  // routers that said in turn that they lack it
  failover::TimePoint due_{}, fetch_at_{};
};

}  // namespace peatbend::compat
