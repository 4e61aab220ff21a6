#include "lab/bench.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>
#include <vector>

#include "lab/bench_config.h"
#include "lab/dial.h"
#include "lab/echo.h"
#include "lab/tally.h"
#include "peatbend/balancer.h"
#include "processes/router_process.h"
#include "world/random.h"

namespace peatbend::lab {
namespace {

using processes::FreePort;
using processes::RouterProcess;

using Clock = std::chrono::steady_clock;

struct Sample {
  double per_second = 0, p50_us = 0, p99_us = 0;
  std::uint64_t wrong = 0;
};

// Clients in a closed loop: each sends its next request once it has the answer to the last. All on this
// thread.
class ClosedLoop {
 public:
  // To each address in turn; `through`: answers are a router's.
  ClosedLoop(const std::vector<std::string>& addresses, int clients, bool through, bool slow = false)
      : base_(event_base_new()), through_(through), slow_(slow), random_(7, 7) {
    for (int i = 0; i < clients; ++i) {
      clients_.push_back(std::make_unique<Client>());
      Client& client = *clients_.back();
      client.home = this;
      client.socket = Dial(base_.get(), addresses[static_cast<std::size_t>(i) % addresses.size()]);
      if (!client.socket) throw std::runtime_error("a client of the bench cannot connect");
      bufferevent_setcb(
          client.socket.get(),
          [](bufferevent*, void* self) {
            static_cast<Client*>(self)->home->Read(*static_cast<Client*>(self));
          },
          nullptr,
          [](bufferevent*, short what, void* self) {
            if ((what & BEV_EVENT_CONNECTED) == 0) ++static_cast<Client*>(self)->home->broken_;
          },
          &client);
      bufferevent_enable(client.socket.get(), EV_READ | EV_WRITE);
    }
  }
  Sample Run(double seconds) {
    for (auto& client : clients_) Ask(*client);
    Turn(0.2);  // warm
    times_ = LatencyHistogram();
    done_ = 0;
    auto from = Clock::now();
    Turn(seconds);
    double took = std::chrono::duration<double>(Clock::now() - from).count();
    Latencies l = times_.Read();
    return {static_cast<double>(done_) / took, 1000 * l.p50, 1000 * l.p99, broken_ + wrong_};
  }
  std::uint64_t asked() const { return asked_; }
  void Turn(double seconds) {
    timeval turn = net::ToTimeval(std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9)));
    event_base_loopexit(base_.get(), &turn);
    event_base_dispatch(base_.get());
  }
  void AskAll() {
    for (auto& client : clients_) Ask(*client);
  }

 private:
  struct Client {
    ClosedLoop* home = nullptr;
    net::BuffereventPtr socket;
    Clock::time_point asked;
    std::string key;
  };
  void Ask(Client& client) {
    client.key = fmt::format("{}{:012x}", slow_ ? "slow" : "f00d", random_.Below(20000));
    std::string text = "*4\r\n$7\r\nOBJ.GET\r\n" + Bulk(client.key) + Bulk(fmt::format("{:016x}", ++asked_)) +
                       Bulk("c=read,t=all,d=2000");
    client.asked = Clock::now();
    bufferevent_write(client.socket.get(), text.data(), text.size());
  }
  void Read(Client& client) {
    evbuffer* in = bufferevent_get_input(client.socket.get());
    std::string_view text = net::Contents(in);
    std::size_t expected = through_ ? 5 + client.key.size() + 2 : 4 + 5 + client.key.size() + 2 + 9 + 5;
    if (text.size() < expected && !text.starts_with('-')) return;
    if (text.find(client.key) == std::string_view::npos) ++wrong_;
    evbuffer_drain(in, text.size());
    times_.Add(std::chrono::duration<double, std::milli>(Clock::now() - client.asked).count());
    ++done_;
    Ask(client);
  }

  net::EventBasePtr base_;
  bool through_, slow_;
  world::Random random_;
  std::vector<std::unique_ptr<Client>> clients_;
  LatencyHistogram times_;
  std::uint64_t done_ = 0, asked_ = 0, broken_ = 0, wrong_ = 0;
};

class Router {
 public:
  Router(const BenchOptions& options, const EchoFleet& fleet, int number)
      : process_(options.router, "", fmt::format("{}/router-{}", options.folder, number),
                 fmt::format("127.9.0.4:{}", FreePort("127.9.0.4"))) {
    nlohmann::json config = BenchConfig(fleet);
    config["name"] = "bench";
    config["listen"] = process_.address();
    process_.Write(config.dump());
    process_.Start();
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
  }
  const std::string& address() const { return process_.address(); }
  double CpuSeconds() {
    process_.Sample();
    return process_.Used().cpu_s;
  }
  double ResidentKb() const {
    std::ifstream status(fmt::format("/proc/{}/status", process_.pid()));
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("VmRSS:")) return std::stod(line.substr(6));
    }
    return 0;
  }

 private:
  RouterProcess process_;
};

struct Spread {
  std::vector<double> values;
  std::string Text(const char* format) const {
    auto sorted = values;
    std::ranges::sort(sorted);
    auto one = [&](double value) { return fmt::format(fmt::runtime(format), value); };
    return fmt::format("{} ({} to {})", one(sorted[sorted.size() / 2]), one(sorted.front()),
                       one(sorted.back()));
  }
};

std::string Costs(const BenchOptions& options, int members, int number) {
  EchoFleet fleet(members);
  Router router(options, fleet, number);
  Spread share, cpu, rate, p50, p99;
  std::uint64_t wrong = 0;
  for (int round = 0; round < options.rounds; ++round) {
    Sample straight = ClosedLoop(fleet.addresses(), options.clients, false).Run(options.seconds);
    ClosedLoop through({router.address()}, options.clients, true);
    double before = router.CpuSeconds();
    Sample routed = through.Run(options.seconds);
    double used = router.CpuSeconds() - before;
    share.values.push_back(routed.per_second / straight.per_second);
    cpu.values.push_back(1e6 * used / static_cast<double>(through.asked()));
    rate.values.push_back(routed.per_second);
    p50.values.push_back(routed.p50_us - straight.p50_us);
    p99.values.push_back(routed.p99_us - straight.p99_us);
    wrong += straight.wrong + routed.wrong;
  }
  return fmt::format(
      "{} members, {} clients in a closed loop, median (least to most) of {} rounds of {:g} s\n"
      "  throughput, of the straight way's    {}\n"
      "  router's CPU a request, us           {}\n"
      "  requests a second                    {}\n"
      "  added to p50, us                     {}\n"
      "  added to p99, us                     {}\n"
      "  wrong answers or broken connections  {}\n",
      members, options.clients, options.rounds, options.seconds, share.Text("{:.3f}"), cpu.Text("{:.1f}"),
      rate.Text("{:.0f}"), p50.Text("{:.0f}"), p99.Text("{:.0f}"), wrong);
}

std::string Memory(const BenchOptions& options, int number) {
  EchoFleet fleet(10);
  Router router(options, fleet, number);
  double empty = router.ResidentKb();
  ClosedLoop idle({router.address()}, 1000, true, true);
  idle.Turn(0.5);
  double with_idle = router.ResidentKb();
  idle.AskAll();
  idle.Turn(0.6);  // all out at members that take their time
  double with_busy = router.ResidentKb();
  return fmt::format(
      "resident memory, KB: {:.0f} at the start, {:.0f} more with 1,000 idle clients, {:.0f} more with 1,000 "
      "requests "
      "out\n",
      empty, with_idle - empty, with_busy - empty);
}

std::string Tables() {
  std::string text = "Maglev table, built anew, ms (best of 5):";
  for (int members : {10, 100, 1000}) {
    std::vector<std::string> names;
    for (int i = 0; i < members; ++i) names.push_back(fmt::format("m{:04}", i));
    std::vector<std::string_view> views(names.begin(), names.end());
    double best = 1e9;
    std::size_t size = 0;
    for (int i = 0; i < 5; ++i) {
      auto from = Clock::now();
      size = BuildMaglevTable(views).size();
      best = std::min(best, std::chrono::duration<double, std::milli>(Clock::now() - from).count());
    }
    text += fmt::format("  {} members: {:.2f} ({} slots)", members, best, size);
  }
  return text + "\n";
}

}  // namespace

std::string Bench(const BenchOptions& options) {
  RaiseDescriptors();
  std::signal(SIGPIPE, SIG_IGN);
  std::string text;
  int number = 0;
  for (int members : {10, 200, 1000}) text += Costs(options, members, ++number);
  return text + Memory(options, ++number) + Tables();
}

}  // namespace peatbend::lab
