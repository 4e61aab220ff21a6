// The state of the schema registry: the published versions of each subject and their registered readers. It
// changes by commands alone, and equal commands in equal order give equal bytes. No command depends on a
// clock or on which routers seem to be alive: a reader that is partitioned, dead or stalled counts until an
// operator retires it. Free of I/O; a value, with one owner at a time.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "compat/resolve.h"

namespace peatbend::compat {

// What a subject's versions are: schemas, or numbers of a language (of quota configurations or of messages).
enum class VersionKind : std::uint8_t { kSchemas, kLanguages };
// Which pairs of versions must be readable: newer data by older readers, older data by newer readers, or
// both.
enum class CompatibilityMode : std::uint8_t { kForward, kBackward, kFull };
// The versions that a new one is checked against: the last; or the last and each that an active or silent
// reader uses.
enum class CheckedAgainst : std::uint8_t { kLast, kInUse };
// Active and silent readers count in compatibility checks; retired ones do not.
enum class ReaderStatus : std::uint8_t { kActive, kSilent, kRetired };
constexpr const char* kReaderStatusNames[] = {"heard now", "last heard", "retired"};

struct Policy {
  VersionKind kind = VersionKind::kSchemas;
  CompatibilityMode mode = CompatibilityMode::kForward;
  CheckedAgainst checked_against = CheckedAgainst::kInUse;
  bool operator==(const Policy&) const = default;
};

struct Version {
  std::string schema;             // its text(), if the subject's versions are schemas
  std::uint32_t language = 0;     // if they are languages
  std::uint64_t fingerprint = 0;  // of the published content; tells apart two of the same language
  bool operator==(const Version&) const = default;
};

struct ReaderState {
  // The version numbers that it reads with; for a subject of languages, the languages that it reads.
  std::set<std::uint32_t> versions;
  std::uint64_t registration =
      0;  // the number of its last registration; an older one that comes late is void
  ReaderStatus status = ReaderStatus::kActive;
  std::string retired_by, retirement_reason;
};

struct Subject {
  Policy policy;
  std::vector<Version> versions;  // from version 1
  std::map<std::string, ReaderState> readers;
  // The readers that are not retired and read with that version, or read that language.
  std::vector<std::string> ReadersOf(std::uint32_t number) const;
};

// A reason why a command was rejected.
struct Incompatibility {
  std::string subject, path;
  std::string rule;  // of Resolve, or: subject, version, schema, language, reader, statement, full
  std::string what;
  std::uint32_t version = 0;         // the one that it is incompatible with; 0: none
  std::vector<std::string> readers;  // those that could not read the data
  std::string Text() const;
};

// Must not be reported before the state that it is based on is committed.
struct UpdateResult {
  std::vector<Incompatibility> incompatibilities;
  bool ok() const { return incompatibilities.empty(); }
};

class RegistryState {
 public:
  // Must be equal at all routers that update one registry. `bytes`: of Serialize(); an eighth is reserved for
  // retiring readers, `name`: bytes of a name. Schemas have their own limits.
  struct Bounds {
    std::size_t bytes = 192u << 10, subjects = 64, readers = 1024, name = 128;
  };
  RegistryState() = default;
  explicit RegistryState(Bounds bounds) : bounds_(bounds) {}

  // An operator's command. The kind of a subject's versions cannot be changed later; the rest of the policy
  // can, for versions proposed afterwards.
  UpdateResult Declare(const std::string& subject, Policy policy);
  // Proposes the next version; proposing an accepted one again has no effect. For schemas the fingerprint is
  // the schema's own.
  UpdateResult Propose(const std::string& subject, std::uint32_t version, const std::string& schema);
  UpdateResult Propose(const std::string& subject, std::uint32_t version, std::uint32_t language,
                       std::uint64_t fingerprint);
  // Registers a reader, in place of its last registration, if it can read what is published. Otherwise its
  // former state stays.
  UpdateResult RegisterReader(const std::string& subject, const std::string& reader,
                              std::uint64_t registration, std::set<std::uint32_t> versions);
  // Nothing has been heard from the reader since this registration. It still counts.
  UpdateResult MarkSilent(const std::string& subject, const std::string& reader, std::uint64_t registration);
  // An operator's command: the reader with this registration reads no more. Rejected if the reader has
  // registered again since.
  UpdateResult Retire(const std::string& subject, const std::string& reader, std::uint64_t registration,
                      const std::string& by, const std::string& reason);

  const std::map<std::string, Subject>& subjects() const { return subjects_; }

  // MessagePack that starts with a format number. No bytes are an empty state. Parse returns nothing if the
  // format is unknown or the bytes are not a state.
  std::string Serialize() const;
  static std::optional<RegistryState> Parse(std::string_view bytes, Bounds bounds);
  static std::optional<RegistryState> Parse(std::string_view bytes) { return Parse(bytes, Bounds{}); }

 private:
  UpdateResult AddVersion(const std::string& name, std::uint32_t number, Version version);
  void CheckPair(const std::string& name, std::uint32_t writer, std::uint32_t reader,
                 const Incompatibility& incompatibility, std::vector<Incompatibility>& into);
  const Schema& SchemaOf(const std::string& text);
  template <typename Change>
  UpdateResult Apply(const std::string& name, std::size_t max_bytes, Change change);

  Bounds bounds_;
  std::map<std::string, Subject> subjects_;
  std::map<std::string, std::shared_ptr<const Schema>> parsed_;  // by text
};

}  // namespace peatbend::compat
