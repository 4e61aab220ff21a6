// What the bench tells its routers.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "lab/echo.h"

namespace peatbend::lab {

// A router's configuration before these members: one class "read", one tenant "all". Its name, and where it
// listens, are the caller's to add.
nlohmann::json BenchConfig(const EchoFleet& fleet);

}  // namespace peatbend::lab
