// What routers say to each other about rations, as bytes: one byte that begins no other cargo, then
// MessagePack, several messages at a time: [version, seats, messages...].
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/decode_error.h"
#include "rations/message.h"

namespace peatbend::rations {

constexpr unsigned char kLead = 0xc1;  // begins no MessagePack value
constexpr unsigned kForm = 1;          // the version of the form; a reader takes its own alone
constexpr std::size_t kMostTogether = 4096, kMostEntries = 16384;

// Messages for one receiver, written one after another.
class Parcel {
 public:
  // `seats`: failover::ReplicaSet::fingerprint() of the sender; who reckons with other seats is not listened
  // to.
  explicit Parcel(std::uint64_t seats) : seats_(seats) {}
  // False: with it the parcel would have more than `most` bytes, or too many messages, and stays as it was.
  // The first is always taken.
  bool Add(const Message& message, std::size_t most);
  std::size_t size() const { return messages_; }
  // What is to be sent; the parcel is empty then.
  std::string Take();

 private:
  std::uint64_t seats_;
  std::size_t messages_ = 0;
  std::string body_;
};
std::string Encode(std::uint64_t seats, const std::vector<Message>& messages);

using net::DecodeError;
// Reads what a stranger may have written. Never throws; `messages` is whole where there is no fault, else
// empty.
DecodeError Decode(std::string_view bytes, std::uint64_t seats, std::vector<Message>& messages);

}  // namespace peatbend::rations
