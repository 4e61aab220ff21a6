#include "admin/ask.h"

#include <fmt/format.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/address.h"

namespace peatbend::net {
namespace {

constexpr std::size_t kMostAnswer = 4u << 20;

struct Socket {
  int fd = -1;
  ~Socket() {
    if (fd >= 0) close(fd);
  }
};

}  // namespace

std::string AskRouter(const std::string& address, const std::string& call) {
  sockaddr_storage to{};
  int size = 0;
  ParseAddress(address, to, size);
  Socket one{socket(to.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0)};
  timeval within{2, 0};
  setsockopt(one.fd, SOL_SOCKET, SO_RCVTIMEO, &within, sizeof within);
  setsockopt(one.fd, SOL_SOCKET, SO_SNDTIMEO, &within, sizeof within);
  auto fail = [&](const char* what) {
    throw std::runtime_error(std::string(what) + " " + address + ": " + std::strerror(errno));
  };
  if (connect(one.fd, reinterpret_cast<sockaddr*>(&to), static_cast<socklen_t>(size)) != 0)
    fail("cannot reach");
  std::string line = call + "\n";
  if (write(one.fd, line.data(), line.size()) != static_cast<ssize_t>(line.size())) fail("cannot ask");
  std::string answer;
  char piece[4096];
  for (ssize_t got = 0; (got = read(one.fd, piece, sizeof piece)) != 0;) {
    if (got < 0) fail("no whole answer from");
    answer.append(piece, static_cast<std::size_t>(got));
    if (answer.size() > kMostAnswer) throw std::runtime_error("the answer of " + address + " is too long");
  }
  while (!answer.empty() && answer.back() == '\n') answer.pop_back();
  return answer;
}

std::string PeersTable(const std::string& text) {
  using nlohmann::json;
  json all = json::parse(text);
  auto word = [](const json& from, const char* key) { return from.value(key, std::string("-")); };
  std::string table = fmt::format("fleet {}: {} is {}, standing {}, {} present, health {}\n",
                                  word(all, "fleet"), word(all, "name"), word(all, "phase"),
                                  word(all, "standing"), all.value("present", 0), all.value("health", 0));
  table += fmt::format("{:<16} {:<8} {:>8} {:>8} {:<22} {:<14} {:<8} {}", "NAME", "STATE", "FOR S",
                       "HEARD MS", "ADDRESS", "ZONE", "VERSION", "BY");
  for (const json& one : all.value("members", json::array())) {
    std::string heard = one.at("heard_ms").is_number() ? one.at("heard_ms").dump() : "-";
    table += fmt::format("\n{:<16} {:<8} {:>8.1f} {:>8} {:<22} {:<14} {:<8} {}", word(one, "name"),
                         word(one, "state"), one.value("for_ms", 0.0) / 1000, heard, word(one, "address"),
                         word(one, "zone"), word(one, "version"), word(one, "by"));
  }
  return table;
}

std::string FailoverTable(const std::string& text) {
  nlohmann::json all = nlohmann::json::parse(text);
  std::string table = fmt::format("{} replicas", all.value("replicas", nlohmann::json::array()).size());
  for (const auto& [name, value] : all.items()) {
    if (value.is_number()) table += fmt::format("\n{:<22} {:>12}", name, value.dump());
  }
  return table;
}

}  // namespace peatbend::net
