// Three schemas of one record, as its publishers evolve it.
#pragma once

#include <string>

namespace peatbend::compat {

inline std::string Record(const std::string& fields) {
  return R"({"type":"record","name":"R","fields":[)" + fields + "]}";
}
// A reader with kOld requires `a`; kNew has it, with a default; kWithout lacks it.
inline const std::string kOld = Record(R"({"name":"a","type":"int"})");
inline const std::string kNew =
    Record(R"({"name":"a","type":"int","default":0},{"name":"b","type":"int","default":0})");
inline const std::string kWithout = Record(R"({"name":"b","type":"int","default":0})");

}  // namespace peatbend::compat
