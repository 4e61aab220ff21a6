#include "rations/kept.h"

#include <algorithm>

namespace peatbend::rations {
namespace {

void Add(std::vector<std::string>& all, const std::string& one) {
  if (std::ranges::find(all, one) == all.end()) all.push_back(one);
}

}  // namespace

void Kept::SetTable(const QuotaTable& table, KeeperLimits limits, Time now, std::int64_t unix_s) {
  // Those that have waited for the go to begin may be of a former book: its numbers are others here.
  std::erase_if(gathered_, [&](const auto& one) { return one.second.draw.print != table.fingerprint; });
  if (table_ != nullptr) {
    gathered_.clear();
    batches_.clear();
    // Their numbers are remembered: what comes late of the former is not reckoned under this one.
    for (auto& [nonce, drawer] : drawers_) {
      drawer.told = true;
      for (Entry& entry : drawer.answer.entries) entry.want = 0;
    }
  }
  table_ = &table;
  most_drawers_ = limits.drawers;
  keeper_.emplace(table, limits, now, unix_s);
}

std::optional<Message> Kept::Draw(Time now, const std::string& from, const Message& draw) {
  auto known = drawers_.find(draw.drawer);
  if (known != drawers_.end() && draw.number <= known->second.number) {
    Drawer& drawer = known->second;
    if (draw.number < drawer.number || drawer.answer.print != draw.print) return std::nullopt;
    if (drawer.told) return drawer.answer;
    Add(drawer.to, from);
    return std::nullopt;
  }
  Gathered& gathered = gathered_[draw.drawer];
  if (gathered.draw.number > draw.number) return std::nullopt;
  if (gathered.draw.number < draw.number) gathered = {draw, {}};
  Add(gathered.from, from);
  turn_at = std::min(turn_at, now);
  return std::nullopt;
}

Kept::Drawer& Kept::Find(Time now, std::uint64_t drawer) {
  auto at = drawers_.find(drawer);
  if (at == drawers_.end()) {
    if (drawers_.size() >= most_drawers_)
      drawers_.erase(std::ranges::min_element(drawers_, {}, [](const auto& one) { return one.second.at; }));
    at = drawers_.try_emplace(drawer).first;
  }
  at->second.at = now;
  return at->second;
}

std::uint64_t Kept::Turn(Time now, std::int64_t unix_s, unsigned signs, std::vector<Fence::To>& out) {
  turn_at = Time::max();
  if (gathered_.empty()) return 0;
  std::vector<std::vector<Entry>> drawn;
  Batch batch{0, now, {}};
  for (auto& [nonce, gathered] : gathered_) {
    Message& draw = gathered.draw;
    Drawer& drawer = Find(now, nonce);
    drawer.number = draw.number;
    drawer.told = false;
    drawer.to = std::move(gathered.from);
    drawer.answer = {};
    drawer.answer.kind = MessageKind::kGrant;
    drawer.answer.shard = shard_;
    drawer.answer.go = fence.go();
    drawer.answer.number = draw.number;
    drawer.answer.drawer = draw.drawer;
    drawer.answer.print = draw.print;
    for (Entry& entry : draw.entries) {
      if (ShardOf(entry.chain) != shard_) entry.want = 0;
    }
    drawn.push_back(std::move(draw.entries));
    batch.drawers.push_back(nonce);
  }
  gathered_.clear();
  keeper_->SetTime(now, unix_s, signs);
  auto answers = keeper_->DrawAll(drawn);
  batch.confirm = fence.Confirm(out);
  std::uint64_t tokens = 0;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    for (const Entry& entry : answers[i]) tokens += entry.want;
    auto at = drawers_.find(batch.drawers[i]);
    if (at == drawers_.end()) continue;  // more than may be remembered, in one turn
    at->second.answer.entries = std::move(answers[i]);
    at->second.confirm = batch.confirm;
  }
  said_at = now;
  batches_.push_back(std::move(batch));
  return tokens;
}

std::vector<Out> Kept::Confirmed() {
  std::vector<Out> told;
  while (!batches_.empty() && batches_.front().confirm <= fence.confirmed()) {
    for (std::uint64_t nonce : batches_.front().drawers) {
      auto at = drawers_.find(nonce);
      if (at == drawers_.end() || at->second.confirm != batches_.front().confirm) continue;
      at->second.told = true;
      for (const std::string& router : at->second.to) told.push_back({router, at->second.answer});
    }
    batches_.pop_front();
  }
  return told;
}

void Kept::Put(std::string& into) const {
  rations::Put(into, drawers_.size());
  for (const auto& [nonce, drawer] : drawers_) {
    for (std::uint64_t each : {nonce, drawer.number, drawer.confirm, std::uint64_t{drawer.told}})
      rations::Put(into, each);
    for (const std::string& router : drawer.to) rations::Put(into, router);
    rations::Put(into, drawer.answer);
  }
  for (const auto& [nonce, gathered] : gathered_) {
    for (const std::string& router : gathered.from) rations::Put(into, router);
    rations::Put(into, gathered.draw);
  }
  for (const Batch& batch : batches_) {
    rations::Put(into, batch.confirm);
    for (std::uint64_t nonce : batch.drawers) rations::Put(into, nonce);
  }
}

std::optional<Time> Kept::waiting() const {
  return batches_.empty() ? std::nullopt : std::optional(batches_.front().at);
}

}  // namespace peatbend::rations
