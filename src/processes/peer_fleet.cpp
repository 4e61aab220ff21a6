#include "processes/peer_fleet.h"

#include <fmt/format.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace peatbend::processes {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kSeeds = 3;

constexpr const char* kDeployment = R"(
[deployment]
zones = ["east", "west"]
[[deployment.classes]]
name = "read"
objective = "600ms"
deadline = "2s"
effect = "read_like"
[[deployment.tenants]]
name = "acme"
share = 1.0
)";

}  // namespace

std::string PeerFleet::Host(int block, std::size_t node) const {
  return fmt::format("127.{}.{}.{}", 20 + 2 * (lane_ % 100) + block, lane_ / 100, 1 + node);
}

PeerFleet::PeerFleet(std::string program, std::string folder, std::size_t size, std::uint64_t seed,
                     const std::string& more_peers_keys, int number)
    : lane_((getpid() + 5000 * number) % 10000), up_(size, false), stalled_(size, false) {
  if (size > 250) throw std::runtime_error("processes: at most 250");
  std::vector<links::Links::Node> nodes;
  for (std::size_t i = 0; i < size; ++i) nodes.push_back({Host(1, i) + ":7300", Host(0, i) + ":7300"});
  links_ = std::make_unique<links::Links>(std::move(nodes), seed);
  std::string seeds;
  for (std::size_t i = 0; i < std::min(size, kSeeds); ++i)
    seeds += fmt::format("{}\"{}\"", i > 0 ? ", " : "", links_->Shown(i));
  for (std::size_t i = 0; i < size; ++i) {
    std::string own = fmt::format("{}/{}", folder, NameOf(i)), file = own + "/router.toml";
    routers_.push_back(std::make_unique<RouterProcess>(program, file, own, Host(1, i) + ":7400"));
    std::ofstream(file) << fmt::format(
        "[router]\nname = \"{}\"\nlisten = \"{}\"\ndiscovery = \"{}:9\"\nadmin = \"{}\"\n[peers]\nfleet = "
        "\"lab\"\n"
        "listen = \"{}:7300\"\nadvertise = \"{}\"\nseeds = [{}]\n{}{}",
        NameOf(i), routers_[i]->address(), Host(1, i), Admin(i), Host(1, i), links_->Shown(i), seeds,
        more_peers_keys, kDeployment);
    routers_[i]->Write("{}");
  }
}

PeerFleet::~PeerFleet() = default;

void PeerFleet::Start(std::size_t node) {
  routers_[node]->Start();
  up_[node] = true;
  stalled_[node] = false;
}

void PeerFleet::Kill(std::size_t node) {
  routers_[node]->Signal(SIGKILL);
  waitpid(routers_[node]->pid(), nullptr, 0);
  routers_[node]->Ended();
  up_[node] = stalled_[node] = false;
}

void PeerFleet::Stop(std::size_t node) {
  routers_[node]->Signal(SIGTERM);
  int status = 0;
  waitpid(routers_[node]->pid(), &status, 0);
  routers_[node]->Ended();
  up_[node] = false;
  if (status != 0) throw std::runtime_error(NameOf(node) + " did not end with 0 after SIGTERM");
}

void PeerFleet::Stall(std::size_t node, bool on) {
  if (!up_[node]) return;
  routers_[node]->Signal(on ? SIGSTOP : SIGCONT);
  stalled_[node] = on;
}

void PeerFleet::Split(const std::vector<std::size_t>& one, const std::vector<std::size_t>& other, bool cut) {
  links::Faults faults;
  faults.cut = cut;
  for (std::size_t a : one) {
    for (std::size_t b : other) {
      links_->Set(a, b, faults);
      links_->Set(b, a, faults);
    }
  }
}

std::optional<View> PeerFleet::Ask(std::size_t node) const { return AskView(Admin(node)); }

std::string PeerFleet::Difference() const {
  std::vector<std::string> admins;
  for (std::size_t i = 0; i < size(); ++i) {
    if (up_[i] && !stalled_[i]) admins.push_back(Admin(i));
  }
  return DifferenceAmong(admins);
}

std::optional<double> PeerFleet::Agree(std::chrono::milliseconds within) {
  auto from = Clock::now();
  while (!Difference().empty()) {
    if (Clock::now() - from > within) return std::nullopt;
    std::this_thread::sleep_for(20ms);
  }
  return std::chrono::duration<double>(Clock::now() - from).count();
}

std::vector<std::string> PeerFleet::Crashed() const {
  std::vector<std::string> crashed;
  for (std::size_t i = 0; i < size(); ++i) {
    if (up_[i] && waitpid(routers_[i]->pid(), nullptr, WNOHANG) != 0) crashed.push_back(NameOf(i));
  }
  return crashed;
}

}  // namespace peatbend::processes
