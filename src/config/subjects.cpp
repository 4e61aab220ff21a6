#include "config/subjects.h"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include "base/text.h"
#include "config/config.h"
#include "config/keys.h"

namespace peatbend {
namespace {

using compat::SubjectConfig;
using nlohmann::json;

constexpr std::size_t kMostSubjects = 64, kMostSchemas = 4096, kMostBytes = 1u << 20, kLongestName = 128;

class SubjectReader {
 public:
  SubjectReader(const json& own, std::size_t place, const Settings& settings,
                std::vector<std::string>& faults)
      : own_(own),
        path_(fmt::format("publications.subjects.{}.", place)),
        settings_(settings),
        faults_(faults) {}

  SubjectConfig Read() {
    SubjectConfig of;
    of.subject = Plain("name", "a name");
    if (of.subject.empty()) Fault("name", "missing");
    if (of.subject == "rations") Fault("name", "is the subject of books of rations");
    of.classes = Names("classes", settings_.classes);
    if (of.classes.empty()) Fault("classes", "the names of one or more classes expected");
    of.tenants = Names("franchisees", settings_.tenants);
    if (own_.contains("franchisees") && of.tenants.empty())
      Fault("franchisees", "none named: leave it out for all");
    of.version_fact = Fact("version");
    if (of.version_fact.empty())
      Fault("version", "the fact of a write that carries its payload's version expected");
    of.reader_fact = Fact("reader"), of.reader_version_fact = Fact("reads"),
    of.registration_fact = Fact("statement");
    if (of.reader_fact.empty() != of.reader_version_fact.empty())
      Fault(of.reader_fact.empty() ? "reader" : "reads",
            "missing: who reads, and with which version, go together");
    if (of.reader_fact.empty() && !of.registration_fact.empty()) Fault("statement", "needs reader and reads");
    if (!of.reader_fact.empty() &&
        (of.reader_fact == of.reader_version_fact || of.reader_fact == of.registration_fact ||
         of.reader_version_fact == of.registration_fact))
      Fault("reader", "reader, reads and statement: facts of different names expected");
    of.allow_unnamed_readers = Word("unstated", {"serve", "reject"}) == 0;
    if (of.reader_fact.empty() && !of.allow_unnamed_readers) Fault("unstated", "needs reader and reads");
    of.policy.mode =
        static_cast<compat::CompatibilityMode>(Word("mode", {"readers-read-new", "new-reads-old", "both"}));
    of.policy.checked_against = Word("beside", {"in-use", "last"}) == 0 ? compat::CheckedAgainst::kInUse
                                                                        : compat::CheckedAgainst::kLast;
    of.folder = Text("schemas");
    if (!of.folder.empty()) ReadFolder(of);
    ReadRetire(of);
    return of;
  }

 private:
  void Fault(std::string_view key, std::string_view what) {
    faults_.push_back(fmt::format("{}{}: {}", path_, key, what));
  }
  // A list where a string stands is a fault of Text, and the other way round.
  std::string Text(const char* key) {
    auto at = own_.find(key);
    if (at == own_.end()) return {};
    if (!at->is_string()) return Fault(key, "a string expected"), std::string();
    return at->get<std::string>();
  }
  // A word as facts have it, and figures.
  std::string Plain(const char* key, const char* of) {
    std::string name = Text(key);
    auto plain = [](unsigned char c) { return c > ' ' && c < 0x7f && c != ',' && c != '='; };
    if (!std::ranges::all_of(name, plain) || name.size() > kLongestName)
      Fault(key, fmt::format("{} expected, of up to {} bytes, without space, comma or =", of, kLongestName));
    return name;
  }
  std::string Fact(const char* key) {
    std::string name = Plain(key, "the name of a fact");
    for (const char* taken : {"c", "t", "d", "r"})
      if (name == taken) Fault(key, "is one of the router's own facts");
    return name;
  }
  std::size_t Word(const char* key, const std::vector<std::string>& words) {
    if (!own_.contains(key)) return 0;
    auto at = std::ranges::find(words, Text(key));
    if (at == words.end()) return Fault(key, fmt::format("{} expected", fmt::join(words, " or "))), 0;
    return static_cast<std::size_t>(at - words.begin());
  }
  template <typename All>
  std::vector<int> Names(const char* key, const All& all) {
    auto at = own_.find(key);
    if (at == own_.end()) return {};
    if (!at->is_array()) return Fault(key, "a list of names expected"), std::vector<int>();
    std::vector<std::string> known;
    for (const auto& one : all) known.push_back(one.name);
    std::vector<int> numbers;
    for (const json& name : *at) {
      auto found = std::ranges::find(known, name.get<std::string>());
      if (found != known.end()) {
        numbers.push_back(static_cast<int>(found - known.begin()));
      } else {
        Fault(key, fmt::format("{} is not known; the nearest known name is {}", name.get<std::string>(),
                               Nearest(name.get<std::string>(), known)));
      }
    }
    return numbers;
  }

  // "READER STATEMENT WHY"
  void ReadRetire(SubjectConfig& of) {
    auto at = own_.find("retire");
    if (at == own_.end()) return;
    if (!at->is_array()) return Fault("retire", "a list expected");
    for (const json& line : *at) {
      compat::Retirement one;
      std::string text = line.get<std::string>();
      std::string_view rest = text;
      one.reader = NextField(rest, ' ');
      bool number = ParseNumber(NextField(rest, ' '), one.registration);
      one.reason = rest;
      if (one.reader.empty() || !number || one.reason.empty() || one.reason.size() > kLongestName)
        Fault("retire", fmt::format("\"READER STATEMENT WHY\" expected, not \"{}\"", text));
      of.retirements.push_back(std::move(one));
    }
  }

  // 1.avsc, 2.avsc, ...: one after another, from any number on.
  void ReadFolder(SubjectConfig& of) {
    std::map<std::uint32_t, std::filesystem::path> files;
    std::error_code error;
    std::filesystem::directory_iterator folder(of.folder, error);
    if (error) return Fault("schemas", fmt::format("cannot read {}: {}", of.folder, error.message()));
    for (const auto& entry : folder) {
      if (entry.path().extension() != ".avsc") continue;
      std::uint32_t number = 0;
      bool plain = ParseNumber(entry.path().stem().string(), number) && number > 0 &&
                   number <= kMostSchemas && entry.path().filename() == std::to_string(number) + ".avsc";
      if (!plain)
        return Fault("schemas", fmt::format("{}: 1.avsc, 2.avsc, ... expected", entry.path().string()));
      files[number] = entry.path();
    }
    if (files.empty()) return Fault("schemas", of.folder + ": no 1.avsc there");
    of.first_version = files.begin()->first;
    std::size_t bytes = 0;
    for (const auto& [number, path] : files) {
      if (number != of.first_version + of.schemas.size())
        return Fault("schemas", fmt::format("{}: no {}.avsc before it", path.string(), number - 1));
      std::ifstream file(path);
      std::string text(compat::Limits{}.bytes + 1, '\0');
      file.read(text.data(), static_cast<std::streamsize>(text.size()));
      text.resize(static_cast<std::size_t>(file.gcount()));
      auto schema = compat::Schema::Parse(text);
      if (const auto* fault = std::get_if<compat::Error>(&schema))
        return Fault("schemas", fmt::format("{}: {}: {}", path.string(), fault->path, fault->what));
      if ((bytes += text.size()) > kMostBytes)
        return Fault("schemas", fmt::format("{}: more than {} bytes together", path.string(), kMostBytes));
      of.schemas.push_back(std::move(text));
    }
  }

  const json& own_;
  std::string path_;
  const Settings& settings_;
  std::vector<std::string>& faults_;
};

}  // namespace

std::vector<SubjectConfig> ReadSubjects(const json& own, const Settings& settings) {
  std::vector<std::string> faults;
  std::vector<SubjectConfig> all;
  if (own.size() > kMostSubjects)
    throw ConfigError(fmt::format("publications.subjects: {} at most", kMostSubjects));
  for (std::size_t place = 0; place < own.size(); ++place)
    all.push_back(SubjectReader(own[place], place, settings, faults).Read());
  std::set<std::string> names;
  std::map<std::pair<int, int>, std::string> covered;  // by class and franchisee
  for (std::size_t place = 0; place < all.size(); ++place) {
    const SubjectConfig& of = all[place];
    if (!names.insert(of.subject).second)
      faults.push_back(fmt::format("publications.subjects.{}.name: {} twice", place, of.subject));
    std::vector<int> tenants = of.tenants;
    for (int tenant = -1; of.tenants.empty() && tenant < static_cast<int>(settings.tenants.size()); ++tenant)
      tenants.push_back(tenant);
    for (int cls : std::set<int>(of.classes.begin(), of.classes.end())) {
      std::string other;
      for (int tenant : std::set<int>(tenants.begin(), tenants.end())) {
        auto [at, fresh] = covered.try_emplace({cls, tenant}, of.subject);
        if (!fresh) other = at->second;
      }
      if (!other.empty())
        faults.push_back(
            fmt::format("publications.subjects.{}.classes: {} is covered by {} for a franchisee of both",
                        place, settings.classes[static_cast<std::size_t>(cls)].name, other));
    }
  }
  if (!faults.empty()) throw ConfigError(std::move(faults));
  return all;
}

}  // namespace peatbend
