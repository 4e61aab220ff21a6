#include "compat/resolve.h"

#include <algorithm>
#include <set>
#include <utility>

namespace peatbend::compat {
namespace {

constexpr std::size_t kMaxPairs = 100'000, kMaxDifferences = 64;

bool Promotes(Type from, Type to) {
  switch (from) {
    case Type::kInt:
      return to == Type::kLong || to == Type::kFloat || to == Type::kDouble;
    case Type::kLong:
      return to == Type::kFloat || to == Type::kDouble;
    case Type::kFloat:
      return to == Type::kDouble;
    case Type::kString:
      return to == Type::kBytes;
    case Type::kBytes:
      return to == Type::kString;
    default:
      return false;
  }
}

bool SameName(const Node& writer, const Node& reader) {
  return Unqualified(writer.name) == Unqualified(reader.name) || reader.aliases.contains(writer.name);
}

std::string Text(const Node& node) {
  std::string type = kTypeNames[static_cast<int>(node.type)];
  return IsNamed(node.type) ? type + " " + node.name : type;
}

class Comparison {
 public:
  Comparison(const Schema& writer, const Schema& reader) : writer_(writer), reader_(reader) {}

  std::vector<Difference> Run() {
    AddPair(writer_.root(), reader_.root(), 0, "$");
    for (std::size_t i = 0; i < pairs_.size() && differences_.size() < kMaxDifferences; ++i) {
      if (pairs_.size() > kMaxPairs) {
        AddDifference(i, Rule::kWork, "too many pairs of types to compare");
        break;
      }
      Compare(i);
    }
    return std::move(differences_);
  }

 private:
  struct Pair {
    NodeId writer, reader;
    std::size_t parent;  // index of the pair that led to this one
    std::string step;
  };

  void AddPair(NodeId writer, NodeId reader, std::size_t parent, std::string step) {
    if (seen_.insert({writer, reader}).second) pairs_.push_back({writer, reader, parent, std::move(step)});
  }
  void AddDifference(std::size_t i, Rule rule, std::string what, const std::string& suffix = "") {
    std::vector<const std::string*> steps{&suffix};
    for (; i > 0; i = pairs_[i].parent) steps.push_back(&pairs_[i].step);
    std::string path = "$";
    std::ranges::reverse(steps);
    for (const std::string* step : steps) path += *step;
    differences_.push_back({std::move(path), rule, std::move(what)});
  }

  // The specification's "match", which selects a branch. A matching branch need not be readable.
  bool Match(NodeId writer, NodeId reader) const {
    const Node &w = writer_.at(writer), &r = reader_.at(reader);
    if (w.type == Type::kUnion || r.type == Type::kUnion) return true;
    if (w.type != r.type) return Promotes(w.type, r.type);
    if (w.type == Type::kArray || w.type == Type::kMap) return Match(w.children[0], r.children[0]);
    if (w.type == Type::kFixed && w.size != r.size) return false;
    return !IsNamed(w.type) || SameName(w, r);
  }

  void Compare(std::size_t i) {
    const NodeId writer = pairs_[i].writer, reader = pairs_[i].reader;
    const Node &w = writer_.at(writer), &r = reader_.at(reader);
    if (w.type == Type::kUnion) {
      for (std::size_t n = 0; n < w.children.size(); ++n)
        AddPair(w.children[n], reader, i, "<" + std::to_string(n) + ">");
      return;
    }
    if (r.type == Type::kUnion) {
      auto first = std::ranges::find_if(r.children, [&](NodeId part) { return Match(writer, part); });
      if (first == r.children.end()) return AddDifference(i, Rule::kBranch, "no branch for " + Text(w));
      return AddPair(writer, *first, i, ">" + std::to_string(first - r.children.begin()));
    }
    if (w.type != r.type) {
      if (Promotes(w.type, r.type)) return;
      return AddDifference(i, Rule::kType, Text(w) + " is not " + Text(r));
    }
    if (IsNamed(w.type) && !SameName(w, r))
      return AddDifference(i, Rule::kName, Text(w) + " is not " + Text(r));
    switch (w.type) {
      case Type::kArray:
        return AddPair(w.children[0], r.children[0], i, "[]");
      case Type::kMap:
        return AddPair(w.children[0], r.children[0], i, "{}");
      case Type::kFixed:
        if (w.size != r.size)
          AddDifference(i, Rule::kSize, std::to_string(w.size) + " bytes, read as " + std::to_string(r.size));
        return;
      case Type::kEnum:
        for (const std::string& symbol : w.symbols) {
          if (!r.default_value && std::ranges::find(r.symbols, symbol) == r.symbols.end())
            AddDifference(i, Rule::kSymbol, symbol + " is unknown to " + Text(r) + ", which has no default");
        }
        return;
      case Type::kRecord:
        return CompareFields(i, w, r);
      default:
        return;
    }
  }

  void CompareFields(std::size_t i, const Node& w, const Node& r) {
    for (const Field& field : r.fields) {
      const Field* written = nullptr;
      const std::string step = "." + field.name;
      for (const Field& each : w.fields) {
        if (each.name != field.name && !field.aliases.contains(each.name)) continue;
        if (written != nullptr)
          AddDifference(i, Rule::kAlias, each.name + " and " + written->name + " are one field", step);
        written = &each;
      }
      if (written != nullptr) {
        AddPair(written->type, field.type, i, step);
      } else if (!field.default_value) {
        AddDifference(i, Rule::kDefault, "the writer has no " + field.name + ", and it has no default", step);
      }
    }
  }

  const Schema &writer_, &reader_;
  std::set<std::pair<NodeId, NodeId>> seen_;
  std::vector<Pair> pairs_;
  std::vector<Difference> differences_;
};

}  // namespace

std::vector<Difference> Resolve(const Schema& writer, const Schema& reader) {
  return Comparison(writer, reader).Run();
}

}  // namespace peatbend::compat
