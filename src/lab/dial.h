// A connection to "ADDRESS:PORT" on loopback, being opened; null where the system refuses to try.
#pragma once

#include <string>

#include "base/event_handles.h"

namespace peatbend::lab {

net::BuffereventPtr Dial(event_base* base, const std::string& address);

}  // namespace peatbend::lab
