// Which requests carry a subject's payloads, and what may be done with them by what has been published. A
// write goes on with an accepted version alone; a read that says who reads goes on where that reader counts.
// What is known may be old: an accepted version is never withdrawn, and a reader that counts does so until it
// says otherwise itself or is retired, so old news errs to reject. Free of I/O and clocks; one owner, one
// thread. docs/design/compat.md says why it holds.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "compat/catalogue.h"
#include "compat/register.h"
#include "failover/record.h"

namespace peatbend::compat {

// An operator's word: the reader that made this statement reads no more.
struct Retirement {
  std::string reader;
  std::uint64_t statement = 0;
  std::string why;
  bool operator==(const Retirement&) const = default;
};

// A subject as the settings state it.
struct Covering {
  std::string subject;
  Policy policy;
  std::vector<int> classes, tenants;  // numbers of the settings; no tenants: all, unnamed ones too
  // Names of facts. Of a write: its payload's version. Of a read: who reads, the version that it reads with,
  // the number of its statement (empty: none is made; else each read that names its reader makes one).
  std::string version, reader, reads, statement;
  bool unstated = true;  // a read that names no reader goes on
  std::string folder;    // of its schemas; empty: none
  std::uint32_t first = 1;
  std::vector<std::string> schemas;  // of the versions from `first` on, as they are proposed
  std::vector<Retirement> retire;    // before that
  bool operator==(const Covering&) const = default;
};

// Declares the subject, retires readers and proposes its schemas, in their order, up to the first that is
// refused. May be applied more than once. A reader that has made a later statement is not retired.
Change::Command ProposalOf(const Covering& of);
// The number of the first of its versions that `known` has not accepted as it is; 0: all are.
std::uint32_t FirstNotAccepted(const Covering& of, const Catalogue& known);

// Who reads, and with what. Without a statement's number a version is added to those that the reader has in
// use, and none is ever taken away but by retiring it.
struct Statement {
  std::string_view reader;
  std::uint32_t reads = 0;
  std::optional<std::uint64_t> number;
};
// That the reader be counted. May be applied more than once.
Change::Command JoinOf(const std::string& subject, const Statement& statement);

class Covers {
 public:
  enum class Word : std::uint8_t {
    kMay,
    kNoVersion,    // the write names none, or what is no number
    kNotAccepted,  // or not yet
    kUnknown,      // nothing has been heard of the subject
    kUnstated,
    kBring,    // Join is to be brought, and its answer told
    kJoining,  // it has been
    kRefused,  // that reader may not read with that version
    kBusy      // too many readers at once: later
  };
  struct Verdict {
    Word word = Word::kMay;
    std::string why{};  // kRefused, when it is said first: by what
  };
  struct Bounds {
    std::size_t joining = 32;          // readers whose joining has been brought and not answered
    std::size_t refused = 1024;        // that are remembered; beyond, they are judged again
    std::size_t judged_a_second = 20;  // that did not stand: each is tried on a copy of what is known
    failover::Duration again = std::chrono::seconds(1);  // until one refused is judged again, where news came
  };

  // Each class and tenant is in one of them at most. `classes`, `tenants`: how many the settings have.
  Covers(std::vector<Covering> all, std::size_t classes, std::size_t tenants, Bounds bounds);
  Covers(std::vector<Covering> all, std::size_t classes, std::size_t tenants)
      : Covers(std::move(all), classes, tenants, Bounds{}) {}

  const std::vector<Covering>& all() const { return all_; }
  // The place in all() of what covers it; -1: nothing does. Tenant -1: one that the settings do not name.
  int Of(int cls, int tenant) const { return table_[Cell(cls, tenant)]; }
  // What has been published, as last heard. Kept until the next.
  void Learn(const Catalogue& known);
  // What that subject proposes, as it was read anew.
  void Propose(std::size_t place, const Covering& anew);

  // A write. `version` is the fact's text; empty: it has none.
  Verdict Write(int place, std::string_view version) const;
  // What a read says by its facts' texts; nothing where the version, or a statement's number, is none.
  static std::optional<Statement> StatementOf(std::string_view reader, std::string_view reads,
                                              std::string_view statement);
  // A read, by its facts' texts. Waits for nobody: neither it nor Write allocates where the answer is kMay.
  Verdict Read(failover::TimePoint now, int place, std::string_view reader, std::string_view reads,
               std::string_view statement);
  // What came of a joining that Read asked to bring.
  void Told(failover::TimePoint now, int place, const Statement& statement, const Answer& answer);

  std::size_t joining() const { return joining_; }
  std::size_t refused() const { return waiting_.size() - joining_; }
  std::uint32_t accepted(std::size_t place) const { return views_[place].accepted; }
  // Those that count.
  std::size_t readers(std::size_t place) const { return views_[place].readers.size(); }

 private:
  struct View {  // of a subject, for looking up
    bool known = false;
    std::uint32_t accepted = 0;
    struct Reader {
      std::string name;
      std::vector<std::uint32_t> reads;
    };
    std::vector<Reader> readers;  // that count, by name
    bool Stands(std::string_view reader, std::uint32_t reads) const;
  };
  struct Waiting {  // one that does not stand: brought, or refused
    bool brought = false;
    std::uint64_t news = 0;
    failover::TimePoint until{};
  };
  struct Name {
    int place;
    std::string reader;
    std::uint32_t reads;
    std::optional<std::uint64_t> number;
    auto operator<=>(const Name&) const = default;
  };
  std::size_t Cell(int cls, int tenant) const {
    return static_cast<std::size_t>(cls) * (tenants_ + 1) + static_cast<std::size_t>(tenant + 1);
  }
  Verdict Judge(failover::TimePoint now, int place, const Statement& statement);
  void Refuse(failover::TimePoint now, Waiting& waiting);

  std::vector<Covering> all_;
  Bounds bounds_;
  std::size_t tenants_;
  std::vector<std::int16_t> table_;  // by class and tenant
  std::vector<View> views_;
  Catalogue known_;
  std::uint64_t news_ = 0;
  std::map<Name, Waiting> waiting_;
  std::size_t joining_ = 0;
  failover::TimePoint second_{};  // that judged_ counts
  std::size_t judged_ = 0;
};

}  // namespace peatbend::compat
