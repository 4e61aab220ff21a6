// What holders and owners say to each other, as bytes: MessagePack, several messages at a time.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/decode_error.h"
#include "takeover/record.h"

namespace peatbend::takeover {

constexpr std::size_t kMostTogether = 4096, kMostSteps = 64, kMostWork = 512, kMostValue = 256u << 10;

// `seats`: Seats::print() of the sender; who reckons with other seats is not listened to.
std::string Encode(std::uint64_t seats, const std::vector<Message>& messages);
// About as many bytes as Encode makes of it; never fewer.
std::size_t SizeOf(const Message& message);

using net::DecodeError;
// Reads what a stranger may have written. Never throws; `messages` is whole where there is no fault.
DecodeError Decode(std::string_view bytes, std::uint64_t seats, std::vector<Message>& messages);

}  // namespace peatbend::takeover
