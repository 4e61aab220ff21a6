// The other side of the operators' address: for the command line.
#pragma once

#include <string>

namespace peatbend::net {

// One call, and its answer without the end of its last line. Blocks, for 2 s at most; throws
// std::runtime_error.
std::string AskRouter(const std::string& address, const std::string& call);
// What PEERS answers, as a table for a terminal.
std::string PeersTable(const std::string& json);

// What FAILOVER answers, a line a figure.
std::string FailoverTable(const std::string& json);

}  // namespace peatbend::net
