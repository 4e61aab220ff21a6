// A router's part in the schemas of payloads: it proposes those of its folders, has the readers counted that
// its clients name, and judges each request of a covered class by what has been published. Switched off it is
// not made at all. Of the loop's thread.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/event_handles.h"
#include "base/log.h"
#include "compat/registry_client.h"
#include "compat/schema_check.h"
#include "peatbend/balancer.h"
#include "stage/payload_check.h"

namespace peatbend::net {

class SchemaOffice : public PayloadCheck {
 public:
  // `published` lives until Hush or the end of this; of what it was asked to bring it tells nothing after
  // that. `settings` and `log` outlive this.
  SchemaOffice(event_base* base, const Settings& settings, std::vector<compat::SubjectConfig> subjects,
               compat::RegistryClient& published, Log& log);

  void Check(const Request& request, RequestEvent& event) override;
  // An operator's word: the schemas as a configuration that was read anew has them, also those that were
  // refused before. Whether the subjects are otherwise those of the start; else these stay.
  bool Propose(const std::vector<compat::SubjectConfig>& subjects);
  // Nothing can be brought from now on, and what is known stays.
  void Hush();

  // The program's figures of it, names without a prefix.
  std::vector<std::pair<std::string, std::uint64_t>> Figures();
  // Subjects whose last proposal was refused, and why.
  std::vector<std::pair<std::string, std::string>> Refused() const;

 private:
  using Word = compat::SchemaCheck::CheckResult;
  void Refresh();
  void Bring();
  void Answered(std::size_t place, const compat::UpdateResult& answer);
  void Join(int place, const compat::Registration& statement);
  void Reject(Word word, RequestEvent& event) const;

  const Settings& settings_;
  compat::RegistryClient* published_;  // null: hushed
  Log& log_;
  compat::SchemaCheck covers_;
  std::uint64_t news_ = 0;
  struct Proposal {
    bool waits = false;
    std::string refused;  // why; empty: it was not
  };
  std::vector<Proposal> proposals_;        // by subject
  bool bringing_ = false;                  // one of them at a time
  std::array<std::uint64_t, 9> counts_{};  // of judgements, by Word
  std::uint64_t writes_ = 0, reads_ = 0, proposed_ = 0;
  Timer again_;
};

}  // namespace peatbend::net
