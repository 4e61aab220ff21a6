// What the stand-ins tell of what they saw, and ask of what a request is. The laboratory implements it.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "world/discovery.h"
#include "world/job.h"

namespace peatbend::standin {

class Witness {
 public:
  virtual ~Witness() = default;
  // The request under this id as the world knows it (its work, its key for idempotency); nothing for one that
  // no client sent.
  virtual std::optional<world::Ask> Know(std::string_view id, std::string_view key, bool write) = 0;
  // A connection of that router's was accepted at `place`.
  virtual void Dialled(int place, int router) = 0;
  // An attempt's first byte came at `place` (-1: the origin); the number names the attempt from then on.
  virtual std::size_t Begun(std::string_view id, int place, int router, world::Time first_byte) = 0;
  virtual void Whole(std::size_t attempt, int place) = 0;
  virtual void NeverRan(std::size_t attempt) = 0;
  virtual std::string Value(std::string_view key, std::string_view id, std::string_view server) = 0;
  virtual void Told(int router, const world::Listing& listing) = 0;
};

}  // namespace peatbend::standin
