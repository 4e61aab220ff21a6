#include "processes/peer_view.h"

#include <fmt/format.h>

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "admin/ask.h"

namespace peatbend::processes {

using nlohmann::json;

std::optional<View> AskView(const std::string& admin) {
  View view;
  view.asked = Clock::now();
  json all;
  try {
    all = json::parse(net::AskRouter(admin, "PEERS"), nullptr, false);
  } catch (const std::runtime_error&) {
    return std::nullopt;
  }
  if (!all.is_object()) return std::nullopt;
  view.name = all.value("name", "");
  view.phase = all.value("phase", "");
  view.standing = all.value("standing", "");
  view.life = all.value("life", std::uint64_t{0});
  for (const json& one : all.value("members", json::array()))
    view.members[one.at("name")] = {one.at("state"), one.at("life"), one.at("for_ms")};
  return view;
}

std::map<std::string, std::uint64_t> AskFigures(const std::string& admin) {
  std::map<std::string, std::uint64_t> figures;
  std::istringstream text(net::AskRouter(admin, "DUMP"));
  for (std::string line; std::getline(text, line);) {
    std::size_t equals = line.find('=');
    if (equals != std::string::npos)
      figures[line.substr(line.find('.') + 1, equals - line.find('.') - 1)] =
          std::strtoull(line.c_str() + equals + 1, nullptr, 10);  // 0 of a text
  }
  return figures;
}

std::string DifferenceAmong(const std::vector<std::string>& admins) {
  std::vector<View> views;
  std::map<std::string, std::uint64_t> there;
  for (const std::string& admin : admins) {
    auto view = AskView(admin);
    if (!view) return admin + " does not answer";
    if (view->phase != "member") return view->name + " is " + view->phase;
    there[view->name] = view->life;
    views.push_back(std::move(*view));
  }
  for (const View& view : views) {
    std::map<std::string, std::uint64_t> seen{{view.name, view.life}};
    for (const auto& [other, of] : view.members) {
      if (of.state == "alive" || of.state == "suspect") seen[other] = of.life;
    }
    if (seen != there) return fmt::format("{} sees {} of {}", view.name, seen.size(), there.size());
  }
  return {};
}

}  // namespace peatbend::processes
