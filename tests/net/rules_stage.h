// Messages and helpers shared by the tests of rules and members.
#pragma once

#include <string>

#include "net/stage.h"

namespace peatbend::net::test {

inline const std::string kOriginResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfrom",
                         kOriginReply = "$4\r\nfrom\r\n";
inline const std::string kRead = Get(kKey, "c=read,t=acme,d=480,r=1,size=9");

inline std::uint64_t Outcomes(const Stage& stage, Result result) {
  return stage.router.counters().outcomes[static_cast<std::size_t>(result)];
}

// Discovery lists these members, by their entries, at other addresses.
inline void Moves(Stage& stage, const std::string& members) {
  stage.Watched({R"({"index":42,"snapshot":false,"endpoints":[)" + members + "]}"});
  stage.Until([&] { return stage.router.counters().server_list_changes == 1; });
}

}  // namespace peatbend::net::test
