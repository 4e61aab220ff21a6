#include "lab/bench_config.h"

#include <nlohmann/json.hpp>

namespace peatbend::lab {

nlohmann::json BenchConfig(const EchoFleet& fleet) {
  using nlohmann::json;
  return {
      {"discovery", fleet.discovery()},
      {"seed", "7"},
      {"limits", {{"sockets", 8192}, {"memory_mb", 512}}},
      {"known", json::parse(fleet.List())},
      {"settings",
       {{"classes",
         {{{"name", "read"}, {"objective", 300000000}, {"deadline", 2000000000}, {"effect", "read_like"}}}},
        {"tenants", {{{"name", "all"}, {"share", 1}}}},
        {"zones", {"a"}},
        {"flavors", {"box", "origin"}},
        {"discovery", "subscribe"},
        {"specifics", {{"mode", "aside"}, {"originKind", 1}}},
        {"replicasOfMe", 1},
        {"ceilings",
         {{"tryLimit", 5},
          {"mayCancel", true},
          {"retryAfter", true},
          {"maxRetryAfter", 2000000000},
          {"dialTimeout", 250000000},
          {"keepalive", 100000000000}}},
        {"rules",
         {{"graceToAnswer", 20000000},
          {"askEvery", 10000000000},
          {"startCapacity", 0.14},
          {"warmAfter", 24000000000},
          {"drainGrace", 250000000},
          {"fallMultiple", 3.0},
          {"tipAfter", 2000000000}}},
        {"tick", 5000000}}}};
}

}  // namespace peatbend::lab
