// [[publications.subjects]]: which classes and franchisees carry payloads of which subject, by which facts,
// and the folder with its schemas. Names resolve against the settings.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

#include "compat/schema_check.h"
#include "peatbend/balancer.h"

namespace peatbend {

// The keys of one subject.
constexpr std::string_view kSubjectKeys[] = {"name",   "classes", "franchisees", "version",
                                             "reader", "reads",   "statement",   "unstated",
                                             "mode",   "beside",  "schemas",     "retire"};

// `own`: the list, as ConfigFile has it; null: none. Reads the folders. Throws ConfigError with every fault.
std::vector<compat::SubjectConfig> ReadSubjects(const nlohmann::json& own, const Settings& settings);

}  // namespace peatbend
