// What rations cost: fleets of real routers under steady demand, kept beside none of them in turns; messages
// by routers and by clients; the memory of many clients.
#pragma once

#include <string>
#include <vector>

namespace peatbend::lab {

struct RationCosts {
  std::string router;                            // the program
  std::string folder;                            // for configurations and logs
  double seconds = 4;                            // of each measurement
  int rounds = 5;                                // of each pair; at least 2
  std::vector<double> rates = {50, 200, 800};    // requests a second and router, on beside off
  int pair_clients = 1000;                       // that ask at all routers, of pairs
  int seats = 3;                                 // of each fleet; at least 3
  std::vector<int> fleets = {5, 20, 50};         // routers, with messages counted
  std::vector<int> clients = {10, 1000, 10000};  // the same
  int known = 100000;                            // clients, with memory looked at
};

// Each prints its table as it comes; the figures of pairs have 95 % intervals. They throw std::runtime_error.
void PrintPairs(const RationCosts& options);
void PrintMessages(const RationCosts& options);
void PrintMemory(const RationCosts& options);

}  // namespace peatbend::lab
