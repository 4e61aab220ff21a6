// What the laboratory's clients share: connections, and text for them.
#pragma once

#include <string>
#include <string_view>

#include "base/event_handles.h"

namespace peatbend::lab {

// As many descriptors as the system allows this process.
void RaiseDescriptors();

// A bulk string of RESP.
std::string Bulk(std::string_view text);

// A connection to "ADDRESS:PORT" on loopback, being opened; null where the system refuses to try. `from`: the
// address that it comes from, if not whichever the system takes.
net::BuffereventPtr Dial(event_base* base, const std::string& address, const std::string& from = {});

}  // namespace peatbend::lab
