// What a day states about payloads: the subject that routers are told of, the versions of its schemas, who
// writes and who reads with which; and, apart from it, what the referee holds them to. Values.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "world/agenda.h"

namespace peatbend::lab {

struct PublishDay {
  bool on = false;                    // routers keep a register and judge by it
  std::vector<int> classes, tenants;  // covered; no tenants: all
  std::vector<int> seats;             // three routers
  struct Version {
    std::string schema;  // in Avro's JSON form
    world::Time from{};  // proposed; at 0 by all routers, later by those
    std::vector<int> by;
    bool never = false;       // it must be refused
    double share = 0;         // of the covered writes, all day long
    std::vector<int> breaks;  // readers with these versions cannot read what is written with it
  };
  std::vector<Version> versions;  // from 1
  struct Reader {
    std::string name;
    int reads = 1;
    double share = 0;  // of the covered reads; the rest name no reader
    world::Time from{};
  };
  std::vector<Reader> readers;

  bool Covers(int cls, int tenant) const {
    return std::ranges::find(classes, cls) != classes.end() &&
           (tenants.empty() || std::ranges::find(tenants, tenant) != tenants.end());
  }
};

// What a request says of its payload.
struct Payload {
  int version = 0;  // of a write; 0: it is none
  int reader = -1;  // of a read: its place in `readers`
};

}  // namespace peatbend::lab
