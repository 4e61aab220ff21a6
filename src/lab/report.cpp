#include "lab/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <functional>
#include <stdexcept>

namespace peatbend::lab {
namespace {

constexpr double kWidth = 860, kHeight = 210, kLeft = 56, kRight = 12, kTop = 26, kBottom = 26;

std::string Escaped(std::string_view text) {
  std::string out;
  for (char c : text) {
    switch (c) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
  }
  return out;
}

struct Line {
  std::string name, colour;
  std::vector<double> values;  // one a second; NaN: none
};

// Round steps for an axis: 1, 2 or 5 times a power of ten.
double RoundStep(double span, int ticks) {
  double raw = span / ticks, power = std::pow(10, std::floor(std::log10(raw)));
  for (double factor : {1.0, 2.0, 5.0}) {
    if (raw <= factor * power) return factor * power;
  }
  return 10 * power;
}

class Plot {
 public:
  Plot(std::string title, std::string unit, const DayResult& result, double most, bool logarithmic = false)
      : title_(std::move(title)),
        unit_(std::move(unit)),
        result_(result),
        seconds_(static_cast<double>(std::max<std::size_t>(1, result.timeline.size()))),
        most_(most),
        log_(logarithmic) {}

  void Add(Line line) { lines_.push_back(std::move(line)); }

  std::string Draw() const {
    std::string svg = fmt::format(
        "<figure><figcaption>{}</figcaption><svg viewBox=\"0 0 {} {}\" role=\"img\" aria-label=\"{}\">\n",
        Escaped(title_), kWidth, kHeight, Escaped(title_));
    Axes(svg);
    Marks(svg);
    for (const Line& line : lines_) {
      std::string path;
      bool pen = false;
      for (std::size_t s = 0; s < line.values.size(); ++s) {
        if (std::isnan(line.values[s])) {
          pen = false;
          continue;
        }
        path += fmt::format("{}{:.1f} {:.1f} ", pen ? "L" : "M", X(static_cast<double>(s) + 0.5),
                            Y(line.values[s]));
        pen = true;
      }
      svg += fmt::format("<path d=\"{}\" fill=\"none\" stroke=\"{}\" stroke-width=\"{}\"/>\n", path,
                         line.colour, lines_.size() > 6 ? 0.8 : 1.8);
    }
    if (lines_.size() <= 6) Legend(svg);
    return svg + "</svg></figure>\n";
  }

 private:
  static constexpr double kLogLeast = 10;
  double X(double second) const { return kLeft + (kWidth - kLeft - kRight) * second / seconds_; }
  double Y(double value) const {
    double part =
        log_ ? std::log(std::max(value, kLogLeast) / kLogLeast) / std::log(most_ / kLogLeast) : value / most_;
    return kHeight - kBottom - (kHeight - kTop - kBottom) * std::clamp(part, 0.0, 1.0);
  }
  void Rule(std::string& svg, double value) const {
    svg += fmt::format(
        "<line x1=\"{0}\" x2=\"{1}\" y1=\"{2:.1f}\" y2=\"{2:.1f}\" class=\"grid\"/><text x=\"{3}\" "
        "y=\"{4:.1f}\" "
        "text-anchor=\"end\">{5:g}</text>\n",
        kLeft, kWidth - kRight, Y(value), kLeft - 5, Y(value) + 4, value);
  }
  void Axes(std::string& svg) const {
    if (log_) {
      for (double value = kLogLeast; value <= most_ * 1.001; value *= 10) Rule(svg, value);
    } else {
      double step = RoundStep(most_, 4);
      for (double value = 0; value <= most_ * 1.001; value += step) Rule(svg, value);
    }
    double step = std::max(1.0, RoundStep(seconds_, 12));
    for (double second = 0; second <= seconds_; second += step) {
      svg += fmt::format("<text x=\"{:.1f}\" y=\"{}\" text-anchor=\"middle\">{:g}</text>\n", X(second),
                         kHeight - 10, second);
    }
    svg += fmt::format("<text x=\"{}\" y=\"{}\" text-anchor=\"end\">s</text>", kWidth - 2, kHeight - 10);
    svg += fmt::format("<text x=\"4\" y=\"12\">{}</text>\n", Escaped(unit_));
  }
  // Each event, on every plot, numbered as in the list at the top; words as a tooltip.
  void Marks(std::string& svg) const {
    for (std::size_t i = 0; i < result_.marks.size(); ++i) {
      double x = X(world::Seconds(result_.marks[i].at));
      svg += fmt::format(
          "<g class=\"mark\"><title>{3}</title><line x1=\"{0:.1f}\" x2=\"{0:.1f}\" y1=\"{1}\" "
          "y2=\"{2}\"/><text "
          "x=\"{0:.1f}\" y=\"{4:.1f}\" text-anchor=\"middle\">{5}</text></g>\n",
          x, kTop, kHeight - kBottom, Escaped(result_.marks[i].text),
          kTop - 3 - 9.0 * static_cast<double>(i % 2), i + 1);
    }
  }
  void Legend(std::string& svg) const {
    double x = kLeft + 46;
    for (const Line& line : lines_) {
      svg += fmt::format(
          "<rect x=\"{0:.0f}\" y=\"3\" width=\"10\" height=\"10\" fill=\"{1}\"/><text x=\"{2:.0f}\" "
          "y=\"12\">{3}</text>\n",
          x, line.colour, x + 14, Escaped(line.name));
      x += 34 + 7 * static_cast<double>(line.name.size());
    }
  }

  std::string title_, unit_;
  const DayResult& result_;
  double seconds_, most_;
  bool log_;
  std::vector<Line> lines_;
};

std::vector<double> Values(const DayResult& result, const std::function<double(const Second&)>& of) {
  std::vector<double> values;
  for (const Second& second : result.timeline) values.push_back(second.asked > 0 ? of(second) : std::nan(""));
  return values;
}

double Most(const std::vector<double>& values, double least) {
  for (double value : values) {
    if (!std::isnan(value)) least = std::max(least, value);
  }
  return least;
}

void Groups(std::string& page, const char* title, const std::vector<GroupResult>& groups) {
  page += fmt::format(
      "<h2>{}</h2><table><tr><th>name<th>asked<th>in time<th>late<th>rejected<th>failed<th>worth<th>p50 "
      "ms<th>p90"
      "<th>p99<th>p999</tr>\n",
      title);
  for (const GroupResult& g : groups) {
    page += fmt::format(
        "<tr><td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{:.3f}<td>{:.0f}<td>{:.0f}<td>{:.0f}<td>{:.0f}</tr>\n",
        Escaped(g.name), g.asked, g.in_time, g.late, g.rejected, g.failed, g.worth, g.latency.p50,
        g.latency.p90, g.latency.p99, g.latency.p999);
  }
  page += "</table>\n";
}

void Limits(std::string& page, const DayResult& result) {
  if (result.limits.empty()) return;
  page +=
      "<h2>Limits</h2><table><tr><th>name<th>rate<th>buckets<th>offered<th>admitted<th>used<th>least 1 s"
      "<th>least 10 s<th>most in 1 s, of what is allowed<th>in 10 s</tr>\n";
  for (const LimitResult& one : result.limits) {
    page += fmt::format(
        "<tr><td>{}<td>{:g}<td>{}<td>{}<td>{}<td>{:.3f}<td>{:.2f}<td>{:.3f}<td>{:.2f}<td>{:.2f}</tr>\n",
        Escaped(one.name), one.rate, one.buckets, one.offered, one.admitted, one.used, one.least_1s,
        one.least_10s, one.nearest[0], one.nearest[1]);
  }
  page += "</table>\n";
}

void Rules(std::string& page, const DayResult& result) {
  page += "<h2>Rules</h2><table><tr><th>rule<th>broken<th>first at s<th>request<th>member<th>what</tr>\n";
  for (const auto& rule : result.rules) {
    page += fmt::format("<tr{}><td>{}<td>{}", rule.count.times > 0 ? " class=\"bad\"" : "", rule.name,
                        rule.count.times);
    if (rule.count.first.empty()) {
      page += "<td><td><td><td></tr>\n";
      continue;
    }
    const Referee::Breach& one = rule.count.first.front();
    page += fmt::format("<td>{:.2f}<td>{}<td>{}<td>{}</tr>\n", world::Seconds(one.at), Escaped(one.request),
                        Escaped(one.member), Escaped(one.what));
  }
  page += "</table>\n";
}

}  // namespace

std::string ReportPage(const DayResult& r) {
  std::string page = fmt::format(
      "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{0}, seed {1}</title><style>\n"
      "body{{font:15px/1.45 sans-serif;max-width:900px;margin:24px auto;padding:0 16px;color:#1d2433}}\n"
      "table{{border-collapse:collapse;font-size:13px;width:100%}}th,td{{text-align:right;padding:3px 8px;"
      "border-bottom:1px solid #dde2ea}}th:first-child,td:first-child{{text-align:left}}\n"
      "svg{{width:100%;height:auto}}svg text{{font:10px sans-serif;fill:#5b6578}}.grid{{stroke:#e4e8ef}}\n"
      ".mark line{{stroke:#b3541e;stroke-dasharray:3 3}}.mark text{{fill:#b3541e}}\n"
      "figure{{margin:14px 0}}figcaption{{font-weight:600}}.bad td{{color:#a3182b;font-weight:600}}\n"
      ".good{{color:#1c7a43}}.verdict{{font-size:20px}}</style></head><body>\n<h1>{0}</h1>\n",
      Escaped(r.scenario), r.seed);
  page += fmt::format("<p class=\"verdict\">Worth <b>{:.3f}</b>, {}</p>\n", r.worth,
                      r.broken == 0
                          ? "<span class=\"good\">no rule broken</span>"
                          : fmt::format("<span class=\"bad\"><b>rules broken {} times</b></span>", r.broken));
  page += fmt::format(
      "<p>Seed {}. Whole day {:.3f}, worst 10 s {:.3f}, worst class {:.3f}, worst tenant {:.3f}, work wasted "
      "{:.1f} %, "
      "attempts a request {:.3f}, crossings between data centres {:.3f}, origin at {:.0f} % of its "
      "capacity.</p>\n",
      r.seed, r.whole, r.worst_window, r.worst_class, r.worst_tenant, 100 * r.waste, r.attempts_per_request,
      r.crossings_per_request, 100 * r.origin_load);
  if (!r.marks.empty()) {
    page += "<p>Events, marked on each plot by their number:</p><ol>\n";
    for (const auto& mark : r.marks)
      page += fmt::format("<li>{:g} s: {}</li>\n", world::Seconds(mark.at), Escaped(mark.text));
    page += "</ol>\n";
  }
  Plot worth("Worth of the requests planned in each second", "share", r, 1);
  worth.Add({"worth", "#2458a6", Values(r, [](const Second& s) { return s.worth; })});
  page += worth.Draw();

  auto p50 = Values(r, [](const Second& s) { return s.p50; });
  auto p99 = Values(r, [](const Second& s) { return s.p99; });
  Plot times("Time to the answer, from the moment the client meant to send", "ms", r,
             std::pow(10, std::ceil(std::log10(Most(p99, 100)))), true);
  times.Add({"p50", "#2458a6", p50});
  times.Add({"p99", "#b3541e", p99});
  page += times.Draw();

  auto asked = Values(r, [](const Second& s) { return static_cast<double>(s.asked); });
  auto origin = Values(r, [](const Second& s) { return static_cast<double>(s.origin); });
  Plot load("Requests asked, and fetches and writes at the origin", "a second", r, 1.05 * Most(asked, 1));
  load.Add({"asked", "#2458a6", asked});
  load.Add({"origin", "#b3541e", origin});
  page += load.Draw();

  for (const LimitResult& one : r.limits) {
    double most_asked = 1;
    for (double value : one.offered_s) most_asked = std::max(most_asked, value);
    Plot limit(fmt::format("Limit {}: offered, admitted, and the rate", one.name), "a second", r,
               1.05 * most_asked);
    limit.Add({"offered", "#8a93a3", one.offered_s});
    limit.Add({"admitted", "#2458a6", one.admitted_s});
    limit.Add({one.buckets > 1 ? fmt::format("rate of {} together", one.buckets) : "rate", "#b3541e",
               std::vector<double>(one.offered_s.size(),
                                   one.rate * static_cast<double>(std::max<std::size_t>(1, one.buckets)))});
    page += limit.Draw();
  }
  std::size_t members = 0;
  double most = 1;
  for (const Second& second : r.timeline) {
    members = std::max(members, second.member_load.size());
    for (double one : second.member_load) most = std::max(most, one);
  }
  Plot by_member(fmt::format("Attempts at each of {} members", members), "a second", r, 1.05 * most);
  for (std::size_t m = 0; m < members; ++m) {
    by_member.Add(
        {fmt::format("{}", m), fmt::format("hsl({} 60% 42%)", m * 360 / members),
         Values(r, [m](const Second& s) { return m < s.member_load.size() ? s.member_load[m] : 0; })});
  }
  page += by_member.Draw();
  Limits(page, r);
  Rules(page, r);
  Groups(page, "Classes", r.classes);
  Groups(page, "Tenants", r.tenants);
  if (!r.routers.empty()) {
    page += "<h2>Routers</h2><table><tr><th>router<th>CPU a request, us<th>peak MB<th>descriptors</tr>\n";
    for (std::size_t i = 0; i < r.routers.size(); ++i) {
      page += fmt::format("<tr><td>{}<td>{:.1f}<td>{:.1f}<td>{}</tr>\n", i, r.routers[i].cpu_us_per_request,
                          r.routers[i].peak_mb, r.routers[i].descriptors);
    }
    page += "</table>\n";
  }
  return page + "</body></html>\n";
}

std::string WriteReport(const DayResult& result, const std::string& folder) {
  std::filesystem::create_directories(folder);
  std::string page = folder + "/index.html";
  std::ofstream html(page), json(folder + "/result.json");
  html << ReportPage(result);
  json << ToJson(result) << "\n";
  if (!html.flush() || !json.flush()) throw std::runtime_error("cannot write to " + folder);
  return page;
}

}  // namespace peatbend::lab
