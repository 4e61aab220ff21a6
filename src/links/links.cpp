#include "links/links.h"

#include <algorithm>
#include <stdexcept>

#include "links/worker.h"

namespace peatbend::links {

Links::Links(std::vector<Node> nodes, std::uint64_t seed, std::size_t threads)
    : shared_(std::make_shared<Shared>()) {
  shared_->nodes = std::move(nodes);
  std::size_t count = shared_->nodes.size();
  shared_->faults.assign(count, std::vector<Faults>(count));
  for (std::size_t i = 0; i < count; ++i)
    shared_->by_host[ntohl(Parse(shared_->nodes[i].real).first.sin_addr.s_addr)] = i;
  if (shared_->by_host.size() != count) throw std::runtime_error("links: each node needs a host of its own");
  for (std::size_t t = 0; t < std::max<std::size_t>(1, threads); ++t) {
    std::vector<std::size_t> mine;
    for (std::size_t i = t; i < count; i += std::max<std::size_t>(1, threads)) mine.push_back(i);
    workers_.push_back(std::make_unique<Worker>(shared_, std::move(mine), seed + t));
  }
  for (auto& worker : workers_) worker->Run();
}

Links::~Links() = default;

const std::string& Links::Shown(std::size_t node) const { return shared_->nodes[node].shown; }

void Links::Set(std::size_t from, std::size_t to, const Faults& faults) {
  std::lock_guard lock(shared_->mutex);
  shared_->faults[from][to] = faults;
}

void Links::SetAll(const Faults& faults) {
  std::lock_guard lock(shared_->mutex);
  for (auto& row : shared_->faults) std::ranges::fill(row, faults);
}

void Links::Reset(std::size_t a, std::size_t b) {
  for (auto& worker : workers_) worker->Reset(a, b);
}

Links::Counts Links::counts() const {
  std::lock_guard lock(shared_->mutex);
  return shared_->counts;
}

}  // namespace peatbend::links
