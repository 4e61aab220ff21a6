// One self-contained HTML page of a day: the verdict, and plots in SVG with the day's events marked on each.
#pragma once

#include <string>
#include <vector>

#include "lab/tally.h"

namespace peatbend::lab {

std::string ReportPage(const DayResult& result);
// Writes DIR/index.html and DIR/result.json, making DIR; returns the page's path. Throws std::runtime_error.
std::string WriteReport(const DayResult& result, const std::string& folder);

}  // namespace peatbend::lab
