// Which requests carry payloads of a subject, and whether they are allowed by what has been published. A
// write passes only with an accepted version; a read that names its reader passes once that reader is
// registered. The known state may be stale: an accepted version is never withdrawn, and a registered reader
// stays one until it registers otherwise or is retired, so a stale state errs towards rejection. Free of I/O
// and clocks; one owner, one thread. docs/design/compat.md argues why this is safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "compat/registry_state.h"
#include "compat/registry_update.h"
#include "failover/record.h"

namespace peatbend::compat {

// An operator's command: the reader with this registration reads no more.
struct Retirement {
  std::string reader;
  std::uint64_t registration = 0;
  std::string reason;
  bool operator==(const Retirement&) const = default;
};

// A subject as the settings define it.
struct SubjectConfig {
  std::string subject;
  Policy policy;
  std::vector<int> classes, tenants;  // indexes in the settings; no tenants: all, unnamed ones too
  // Names of facts. Of a write: its payload's version. Of a read: the reader, the version that it reads with,
  // and the number of its registration (an empty name: registrations have no numbers; otherwise each read
  // that names its reader must give one).
  std::string version_fact, reader_fact, reader_version_fact, registration_fact;
  bool allow_unnamed_readers = true;  // a read that names no reader passes
  std::string folder;                 // of its schemas; empty: none
  std::uint32_t first_version = 1;
  std::vector<std::string> schemas;     // of the versions from `first_version` on, in the order of proposal
  std::vector<Retirement> retirements;  // before those proposals
  bool operator==(const SubjectConfig&) const = default;
};

// Declares the subject, retires readers and proposes its schemas, in their order, up to the first that is
// rejected. May be applied more than once. A reader that has registered again since is not retired.
RegistryUpdate::Command MakeProposal(const SubjectConfig& config);
// The number of the first of its versions that `known` has not accepted as it is; 0: all are.
std::uint32_t FirstNotAccepted(const SubjectConfig& config, const RegistryState& known);

// Who reads, and with which version. Without a number the version is added to those that the reader uses, and
// only its retirement removes one.
struct Registration {
  std::string_view reader;
  std::uint32_t version = 0;
  std::optional<std::uint64_t> number;
};
// Registers the reader. May be applied more than once.
RegistryUpdate::Command MakeRegistration(const std::string& subject, const Registration& registration);

class SchemaCheck {
 public:
  enum class CheckResult : std::uint8_t {
    kAllowed,
    kNoVersion,       // the write gives none, or one that is not a number
    kNotAccepted,     // or not yet
    kUnknownSubject,  // nothing has been heard of the subject
    kUnnamedReader,
    kRegister,     // MakeRegistration is to be submitted, and OnRegistered called with its result
    kRegistering,  // it has been submitted
    kRejected,     // that reader may not read with that version
    kBusy          // too many readers are registering: retry later
  };
  struct Verdict {
    CheckResult result = CheckResult::kAllowed;
    std::string reason{};  // of kRejected, when it is first returned
  };
  struct Bounds {
    std::size_t pending = 32;     // registrations that have been submitted and not answered
    std::size_t rejected = 1024;  // remembered registrations; beyond, they are evaluated again
    std::size_t evaluations_per_s =
        20;  // of unregistered readers: each is tried on a copy of the known state
    failover::Duration reevaluate_after = std::chrono::seconds(1);  // of a rejected one, if the state changed
  };

  // Each class and tenant belongs to one subject at most. `classes`, `tenants`: how many the settings have.
  SchemaCheck(std::vector<SubjectConfig> subjects, std::size_t classes, std::size_t tenants, Bounds bounds);
  SchemaCheck(std::vector<SubjectConfig> subjects, std::size_t classes, std::size_t tenants)
      : SchemaCheck(std::move(subjects), classes, tenants, Bounds{}) {}

  const std::vector<SubjectConfig>& subjects() const { return subjects_; }
  // The index in subjects() of the one that covers them; -1: none. Tenant -1: one that the settings do not
  // name.
  int SubjectOf(int cls, int tenant) const { return table_[Cell(cls, tenant)]; }
  // The registry state as last heard; copied.
  void UpdateKnown(const RegistryState& known);
  // The proposal of that subject, as it was reloaded.
  void SetProposal(std::size_t subject, const SubjectConfig& reloaded);

  // A write. `version` is the fact's text; empty: it has none.
  Verdict CheckWrite(int subject, std::string_view version) const;
  // What a read states by its facts' texts; nothing if the version, or the registration's number, is invalid.
  static std::optional<Registration> ParseRegistration(std::string_view reader, std::string_view version,
                                                       std::string_view number);
  // A read, by its facts' texts. Never blocks. Neither this nor CheckWrite allocates if the result is
  // kAllowed.
  Verdict CheckRead(failover::TimePoint now, int subject, std::string_view reader, std::string_view version,
                    std::string_view number);
  // The result of a registration that CheckRead asked to submit.
  void OnRegistered(failover::TimePoint now, int subject, const Registration& registration,
                    const UpdateResult& result);

  std::size_t pending_registrations() const { return pending_; }
  std::size_t rejected_registrations() const { return unregistered_.size() - pending_; }
  std::uint32_t accepted_versions(std::size_t subject) const { return views_[subject].accepted_versions; }
  // Those that are not retired.
  std::size_t readers(std::size_t subject) const { return views_[subject].readers.size(); }

 private:
  struct View {  // of a subject, for fast lookup
    bool known = false;
    std::uint32_t accepted_versions = 0;
    struct Reader {
      std::string name;
      std::vector<std::uint32_t> versions;
    };
    std::vector<Reader> readers;  // not retired, sorted by name
    bool IsRegistered(std::string_view reader, std::uint32_t version) const;
  };
  struct Unregistered {  // a registration that is pending or was rejected
    bool pending = false;
    std::uint64_t revision = 0;
    failover::TimePoint until{};
  };
  struct Key {
    int subject;
    std::string reader;
    std::uint32_t version;
    std::optional<std::uint64_t> number;
    auto operator<=>(const Key&) const = default;
  };
  std::size_t Cell(int cls, int tenant) const {
    return static_cast<std::size_t>(cls) * (tenants_ + 1) + static_cast<std::size_t>(tenant + 1);
  }
  Verdict Evaluate(failover::TimePoint now, int subject, const Registration& registration);
  void MarkRejected(failover::TimePoint now, Unregistered& entry);

  std::vector<SubjectConfig> subjects_;
  Bounds bounds_;
  std::size_t tenants_;
  std::vector<std::int16_t> table_;  // by class and tenant
  std::vector<View> views_;
  RegistryState known_;
  std::uint64_t revision_ = 0;
  std::map<Key, Unregistered> unregistered_;
  std::size_t pending_ = 0;
  failover::TimePoint second_started_{};
  std::size_t evaluations_ = 0;  // in that second
};

}  // namespace peatbend::compat
