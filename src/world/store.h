// What a cache server keeps: keys and how large their values are, within so many bytes, the least recently
// used (or the first stored) thrown out first.
#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>

namespace peatbend::world {

class Store {
 public:
  Store(std::size_t bytes, bool lru) : most_(bytes), lru_(lru) {}

  bool Has(const std::string& key) {
    auto at = at_.find(key);
    if (at == at_.end()) return false;
    if (lru_) order_.splice(order_.begin(), order_, at->second);
    return true;
  }
  void Put(const std::string& key, std::size_t bytes) {
    Drop(key);
    if (bytes > most_) return;
    order_.push_front({key, bytes});
    at_[key] = order_.begin();
    held_ += bytes;
    while (held_ > most_) Drop(std::string(order_.back().key));
  }
  void Drop(const std::string& key) {
    auto at = at_.find(key);
    if (at == at_.end()) return;
    held_ -= at->second->bytes;
    order_.erase(at->second);
    at_.erase(at);
  }
  void Clear() { order_.clear(), at_.clear(), held_ = 0; }
  std::size_t held() const { return held_; }
  std::size_t size() const { return at_.size(); }

 private:
  struct Item {
    std::string key;
    std::size_t bytes;
  };
  std::size_t most_, held_ = 0;
  bool lru_;
  std::list<Item> order_;  // the next to go last
  std::unordered_map<std::string, std::list<Item>::iterator> at_;
};

}  // namespace peatbend::world
