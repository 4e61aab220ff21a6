#include "config/file.h"

#define TOML_ENABLE_FORMATTERS 0
#include <fmt/format.h>
#include <toml++/toml.h>

#include <cmath>
#include <optional>

#include "base/text.h"
#include "config/keys.h"
#include "config/subjects.h"

namespace peatbend {
namespace {

using nlohmann::json;

// "250ms", "2s", "1.5s", "10m" in nanoseconds.
std::optional<double> Nanoseconds(std::string_view text) {
  constexpr std::pair<std::string_view, double> kUnits[] = {
      {"ns", 1}, {"us", 1e3}, {"ms", 1e6}, {"s", 1e9}, {"m", 60e9}};
  for (auto [unit, factor] : kUnits) {
    double value = 0;
    if (text.ends_with(unit) && ParseNumber(text.substr(0, text.size() - unit.size()), value)) {
      return value < 0 ? std::nullopt : std::optional(value * factor);
    }
  }
  return std::nullopt;
}

class FileReader {
 public:
  FileReader(const std::string& name, std::vector<std::string>& faults) : name_(name), faults_(faults) {
    for (const TuningKey& key : TuningKeys()) known_.emplace_back(key.name);
    for (const char* key :
         {"name", "listen", "discovery", "admin", "seed", "cores", "memory_mb", "sockets"}) {
      known_.push_back(std::string("router.") + key);
    }
    for (const char* key : {"fleet", "listen", "advertise", "seeds"})
      known_.push_back(std::string("peers.") + key);
    for (const char* key : {"replicas", "no_quorum"}) known_.push_back(std::string("failover.") + key);
    for (const char* key : {"book", "seats", "reads"}) known_.push_back(std::string("rations.") + key);
    for (const char* key : {"seats", "folder", "found"}) known_.push_back(std::string("publications.") + key);
    for (const char* key : {"on", "seats"}) known_.push_back(std::string("overload.") + key);
    for (std::string_view key : kSubjectKeys) known_.push_back("publications.subjects.*." + std::string(key));
    for (std::string_view path : DeploymentPaths()) known_.push_back("deployment." + std::string(path));
  }

  ConfigFile Read(const toml::table& root) {
    Walk(root, "", "");
    return std::move(file_);
  }

 private:
  void Fault(const toml::node& node, const std::string& key, std::string_view what) {
    faults_.push_back(fmt::format("{}:{}: {}: {}", name_, node.source().begin.line, key, what));
  }

  // `key` is the path as written, `pattern` the same with * for places in lists.
  void Walk(const toml::node& node, const std::string& key, const std::string& pattern) {
    if (const toml::table* table = node.as_table()) {
      for (auto&& [name, item] : *table) {
        std::string part(name.str());
        Walk(item, key.empty() ? part : key + "." + part, pattern.empty() ? part : pattern + "." + part);
      }
      return;
    }
    const toml::array* array = node.as_array();
    if (array != nullptr && !array->empty() && array->front().is_table()) {
      for (std::size_t i = 0; i < array->size(); ++i)
        Walk((*array)[i], key + "." + std::to_string(i), pattern + ".*");
      return;
    }
    if (std::string_view new_name = NewName(pattern); !new_name.empty()) {
      return Fault(node, key, fmt::format("renamed to {}", new_name));
    }
    if (std::ranges::find(known_, pattern) == known_.end()) {
      return Fault(node, key, "not known; the nearest known name is " + Nearest(pattern, known_));
    }
    if (pattern.starts_with("router.")) return Router(node, key);
    bool tuning =
        std::ranges::any_of(TuningKeys(), [&](const TuningKey& one) { return one.name == pattern; });
    if (pattern.starts_with("peers.") && !tuning)
      return Texts(file_.peers, "seeds", "ADDRESS:PORT", node, key);
    if (pattern.starts_with("failover.") && !tuning)
      return Texts(file_.failover, "replicas", "NAME/ZONE", node, key);
    if (pattern == "rations.reads") {
      auto reads = node.value_exact<std::int64_t>();
      if (!reads) return Fault(node, key, "a whole number expected");
      file_.rations["reads"] = *reads;
      return;
    }
    if (pattern.starts_with("rations.") && !tuning)
      return Texts(file_.rations, "seats", "NAME/ZONE", node, key);
    if (pattern == "overload.on") return Flag(file_.overload["on"], node, key);
    if (pattern.starts_with("publications.subjects.")) return Subject(node, key);
    if (pattern == "publications.found") return Flag(file_.publications["found"], node, key);
    if (pattern.starts_with("publications."))
      return Texts(file_.publications, "seats", "NAME/ZONE", node, key);
    if (pattern == "overload.seats") return Texts(file_.overload, "seats", "NAME/ZONE", node, key);
    if (pattern.starts_with("deployment.")) return Deployment(node, key, pattern);
    for (const TuningKey& one : TuningKeys()) {
      if (one.name != pattern) continue;
      if (!std::visit([&](const auto& value) { return Take(node, value); }, one.value)) {
        Fault(node, key, Allowed(one) + " expected");
      }
    }
  }

  bool Take(const toml::node& node, const WholeNumber& number) {
    auto value = node.value_exact<std::int64_t>();
    if (!value || *value < number.least || *value > number.most) return false;
    number.at(file_.tuning) = *value;
    return true;
  }
  bool Take(const toml::node& node, const Time& time) {
    auto value = node.value_exact<std::int64_t>();
    if (!value || *value < time.least_ms || *value > time.most_ms) return false;
    time.at(file_.tuning) = net::Milliseconds(*value);
    return true;
  }
  bool Take(const toml::node& node, const Share& share) {
    auto value = node.value<double>();
    if (!value || !(*value > 0) || *value > 1) return false;
    share.at(file_.tuning) = *value;
    return true;
  }
  bool Take(const toml::node& node, const Word& word) {
    auto value = node.value_exact<std::string_view>();
    if (!value || std::ranges::find(word.words, *value) == word.words.end()) return false;
    word.at(file_.tuning) = *value;
    return true;
  }

  static std::optional<json> Plain(const toml::node& node) {
    if (auto value = node.value_exact<std::int64_t>()) return json(*value);
    if (auto value = node.value_exact<double>(); value && std::isfinite(*value)) return json(*value);
    if (auto value = node.value_exact<bool>()) return json(*value);
    if (auto value = node.value_exact<std::string>()) return json(*value);
    return std::nullopt;
  }

  // Checked with the platform's JSON, whose form it takes.
  void Router(const toml::node& node, const std::string& key) {
    auto value = Plain(node);
    if (!value) return Fault(node, key, "a number or a string expected");
    std::string name = key.substr(key.find('.') + 1);
    bool limit = name == "cores" || name == "memory_mb" || name == "sockets";
    (limit ? file_.router["limits"][name] : file_.router[name]) = std::move(*value);
  }

  void Flag(json& into, const toml::node& node, const std::string& key) {
    auto on = node.value_exact<bool>();
    if (!on) return Fault(node, key, "true or false expected");
    into = *on;
  }

  // Checked in ReadConfig, together with what they need of each other.
  void Texts(json& into, std::string_view list, std::string_view of, const toml::node& node,
             const std::string& key, std::string_view under = {}) {
    std::string name(under.empty() ? std::string_view(key).substr(key.find('.') + 1) : under);
    if (name == list) {
      const toml::array* array = node.as_array();
      json texts_of = json::array();
      bool texts =
          array != nullptr && std::ranges::all_of(*array, [](const auto& one) { return one.is_string(); });
      if (!texts) return Fault(node, key, fmt::format("a list of {} expected", of));
      for (auto&& one : *array) texts_of.push_back(*one.value_exact<std::string>());
      into[name] = std::move(texts_of);
    } else if (auto text = node.value_exact<std::string>()) {
      into[name] = *text;
    } else {
      Fault(node, key, "a string expected");
    }
  }

  // Checked in ReadSubjects. `key`: publications.subjects.PLACE.KEY
  void Subject(const toml::node& node, const std::string& key) {
    std::string_view rest = std::string_view(key).substr(std::string_view("publications.subjects.").size());
    std::size_t place = 0;
    ParseNumber(NextField(rest, '.'), place);
    if (file_.subjects.is_null()) file_.subjects = json::array();
    while (file_.subjects.size() <= place) file_.subjects.push_back(json::object());
    json& one = file_.subjects[place];
    if (auto text = node.value_exact<std::string>()) {
      one[std::string(rest)] = *text;
    } else {
      Texts(one, rest, "names", node, key, rest);
    }
  }

  void Deployment(const toml::node& node, const std::string& key, const std::string& pattern) {
    std::string_view path = std::string_view(pattern).substr(pattern.find('.') + 1);
    json value;
    if (const toml::array* array = node.as_array()) {
      value = json::array();
      for (auto&& item : *array) {
        auto one = Plain(item);
        if (!one) return Fault(node, key, "a list of numbers or strings expected");
        value.push_back(std::move(*one));
      }
    } else if (auto one = Plain(node)) {
      value = std::move(*one);
    } else {
      return Fault(node, key, "a number, a string, true or false expected");
    }
    if (HoldsTime(path) && value.is_string()) {
      auto nanoseconds = Nanoseconds(value.get<std::string>());
      if (!nanoseconds) return Fault(node, key, "a time such as \"250ms\" or \"2s\" expected");
      value = static_cast<std::int64_t>(std::llround(*nanoseconds));
    }
    std::string pointer;
    std::string_view rest = std::string_view(key).substr(key.find('.') + 1);
    while (!rest.empty()) pointer.append("/").append(NextField(rest, '.'));
    if (file_.deployment.is_null()) file_.deployment = json::object();
    file_.deployment[json::json_pointer(pointer)] = std::move(value);
  }

  const std::string& name_;
  std::vector<std::string>& faults_;
  std::vector<std::string> known_;
  ConfigFile file_;
};

}  // namespace

ConfigFile ReadConfigFile(std::string_view text, const std::string& name, std::vector<std::string>& faults) {
  try {
    return FileReader(name, faults).Read(toml::parse(text, name));
  } catch (const toml::parse_error& error) {
    faults.push_back(
        fmt::format("{}:{}: not TOML: {}", name, error.source().begin.line, error.description()));
    return {};
  }
}

}  // namespace peatbend
