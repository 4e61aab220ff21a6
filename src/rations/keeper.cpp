#include "rations/keeper.h"

#include <algorithm>
#include <cmath>

namespace peatbend::rations {
namespace {

constexpr double kLongestWaitMs = 5000;

double Seconds(Span span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

struct Keeper::Line {
  Entry entry;
  std::uint32_t given = 0, part = 0;
  Level_* level = nullptr;  // of its own bucket; none: not of this table
  bool lent = false;        // has what is spare above
  std::uint32_t left() const { return level == nullptr ? 0 : entry.want - given; }
};

Keeper::Keeper(const QuotaTable& table, KeeperLimits limits, Time begun, std::int64_t unix_s)
    : table_(table), limits_(limits), now_(begun), unix_s_(unix_s) {
  fresh_.assign(table.quotas.size(), Level_{0, begun});
  for (std::size_t i = 0; i < table.quotas.size(); ++i) paces_.push_back(table.RateAt(i, unix_s, signs_));
}

void Keeper::Fill(std::uint32_t ration, Level_& level) const {
  const TokenRate& pace = paces_[ration];
  level.tokens =
      std::min(std::max(pace.burst, 1.0), level.tokens + pace.per_second * Seconds(now_ - level.at));
  level.at = now_;
}

void Keeper::SetTime(Time now, std::int64_t unix_s, unsigned signs) {
  now_ = std::max(now_, now);
  if (unix_s == unix_s_ && signs == signs_) return;
  unix_s_ = unix_s;
  signs_ = signs;
  std::vector<TokenRate> paces;
  for (std::size_t i = 0; i < paces_.size(); ++i) paces.push_back(table_.RateAt(i, unix_s, signs));
  if (paces == paces_) return;
  // Until now all have filled at the former pace.
  for (std::uint32_t i = 0; i < fresh_.size(); ++i) Fill(i, fresh_[i]);
  for (auto& [bucket, level] : levels_) Fill(bucket.quota, level);
  paces_ = std::move(paces);
}

bool Keeper::Known(const BucketPath& chain) const {
  if (chain.size == 0 || chain.size > kMaxQuotaDepth) return false;
  for (std::size_t i = 0; i < chain.size; ++i) {
    std::uint32_t ration = chain.buckets[i].quota;
    if (ration >= table_.quotas.size()) return false;
    int above = i + 1 < chain.size ? static_cast<int>(chain.buckets[i + 1].quota) : -1;
    if (i + 1 < kMaxQuotaDepth && table_.quotas[ration].parent != above) return false;
  }
  return true;
}

Keeper::Level_& Keeper::Find(const Bucket& bucket) {
  Level_& fresh = fresh_[bucket.quota];
  Fill(bucket.quota, fresh);
  auto at = levels_.find(bucket);
  if (at == levels_.end()) {
    if (levels_.size() >= limits_.buckets) return fresh;
    at = levels_.emplace(bucket, fresh).first;
  }
  Fill(bucket.quota, at->second);
  return at->second;
}

// A ration that borrows may have more than its own while all above it are over half full.
std::uint32_t Keeper::Give(Line& line) const {
  auto own = static_cast<std::uint32_t>(std::min(line.level->tokens, 4e9));
  std::uint32_t given = line.lent ? line.part : std::min(line.part, own);
  line.level->tokens -= std::min(given, own);
  line.given += given;
  return given;
}

std::uint32_t Keeper::WaitMs(const Line& line) const {
  double lacks = 1 - line.level->tokens;
  if (lacks <= 0) return 1;
  // On average half of the others are served before.
  lacks += (line.level->unmet - 1) / 2;
  double rate = paces_[line.entry.chain.buckets[0].quota].per_second;
  double wait = rate > 0 ? std::ceil(lacks / rate * 1000) : kLongestWaitMs;
  return static_cast<std::uint32_t>(std::clamp(wait, 1.0, kLongestWaitMs));
}

// In each round an equal part of what is there, the rest one by one; who is first changes from turn to turn.
void Keeper::DealRound(std::vector<Line>& lines) const {
  for (bool some = !lines.empty(); some;) {
    some = false;
    for (Line& line : lines) {
      if (line.left() > 0) line.level->wanting = 0;
    }
    for (Line& line : lines) {
      if (line.left() > 0) ++line.level->wanting;
    }
    for (Line& line : lines) {
      line.part = line.left();
      if (line.part == 0 || line.lent) continue;
      double part = std::floor(line.level->tokens / line.level->wanting);
      line.part = std::max(1u, static_cast<std::uint32_t>(std::min<double>(line.part, part)));
    }
    for (std::size_t n = 0; n < lines.size(); ++n) {
      Line& line = lines[(first_ + n) % lines.size()];
      some = (line.part > 0 && Give(line) > 0) || some;
    }
  }
}

std::vector<std::vector<Entry>> Keeper::DrawAll(const std::vector<std::vector<Entry>>& drawn) {
  std::vector<Line> lines;
  std::size_t many = 0;
  for (const auto& entries : drawn) many += entries.size();
  lines.reserve(many);
  for (const auto& entries : drawn) {
    for (const Entry& entry : entries) {
      Line& line = lines.emplace_back();
      line.entry = entry;
      if (!Known(entry.chain)) continue;
      line.level = &Find(entry.chain.buckets[0]);
      line.level->unmet = 0;
      bool spare = entry.chain.size > 1 && table_.quotas[entry.chain.buckets[0].quota].borrows;
      for (std::size_t i = 1; spare && i < entry.chain.size; ++i)
        spare = Find(entry.chain.buckets[i]).tokens > paces_[entry.chain.buckets[i].quota].burst / 2;
      line.lent = spare;
    }
  }
  DealRound(lines);
  ++first_;
  for (Line& line : lines) {
    if (line.left() > 0) line.level->unmet += line.left();
  }
  std::vector<std::vector<Entry>> answers;
  answers.reserve(drawn.size());
  auto line = lines.begin();
  for (const auto& entries : drawn) {
    auto& answer = answers.emplace_back();
    answer.reserve(entries.size());
    for (std::size_t i = 0; i < entries.size(); ++i, ++line)
      answer.push_back({line->entry.chain, line->given, line->left() > 0 ? WaitMs(*line) : 0});
  }
  return answers;
}

void Keeper::Forget() {
  for (std::uint32_t i = 0; i < fresh_.size(); ++i) Fill(i, fresh_[i]);
  std::erase_if(levels_, [this](const auto& one) {
    Level_ level = one.second;
    Fill(one.first.quota, level);
    return level.tokens >= fresh_[one.first.quota].tokens;
  });
}

double Keeper::Level(const Bucket& bucket) const {
  auto at = levels_.find(bucket);
  Level_ level = at == levels_.end() ? fresh_[bucket.quota] : at->second;
  Fill(bucket.quota, level);
  return level.tokens;
}

std::size_t Keeper::bytes() const {
  constexpr std::size_t kNode = sizeof(std::pair<Bucket, Level_>) + 2 * sizeof(void*);
  return sizeof *this + levels_.size() * kNode + levels_.bucket_count() * sizeof(void*) +
         fresh_.size() * (sizeof(Level_) + sizeof(TokenRate));
}

}  // namespace peatbend::rations
