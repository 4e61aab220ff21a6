// The registry as other parts of a router see it: the last known state, and a way to update it. Implemented
// by router/publication_office. Used on the event loop's thread.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "compat/registry_state.h"
#include "compat/registry_update.h"

namespace peatbend::compat {

class RegistryClient {
 public:
  virtual ~RegistryClient() = default;
  // The last committed state that this router has heard of. An accepted version is never withdrawn, so a
  // stale state errs towards "not accepted".
  virtual const RegistryState& known() const = 0;
  // Increases whenever known() has changed; 0: nothing has been heard yet.
  virtual std::uint64_t revision() const = 0;
  // Retries the command until it is committed or finally rejected, then calls `callback`, never from within
  // Submit; not at all if the router ends first. A full queue is reported by the rule "busy". `label` names
  // the update in the log.
  virtual void Submit(std::string label, RegistryUpdate::Command command,
                      std::function<void(const UpdateResult&)> callback) = 0;
};

}  // namespace peatbend::compat
