// Ten routers before one origin that queues, with clients that come back. Work that nobody waits for any more
// is done all the same, as origins do. Simulated time; the same seed gives the same requests whatever the
// routers do of them.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "overload/load_shedder.h"
#include "overload/retry_budget.h"
#include "twin/overload_laws.h"
#include "world/agenda.h"
#include "world/random.h"

namespace peatbend::twin {

using overload::LoadSignal;
using overload::PriorityInput;
using overload::PriorityOrder;
using world::Span;
using world::Time;

struct TownSetup {
  Law law = Law::kFleet;
  std::uint64_t seed = 1;
  std::size_t routers = 10;
  double load = 0.7, multiple = 3;  // of the origin's capacity; during the overload
  double slow = 1;                  // the origin's work takes so many times as long during it
  Span from = std::chrono::seconds{10}, until = std::chrono::seconds{20}, end = std::chrono::seconds{40};
  double lost = 0, doubled = 0;               // signs
  Span late = std::chrono::milliseconds{30};  // signs, at the most
  bool split = false;                        // from `from` to `until`: two halves that do not hear each other
  double fails = 0.02, fails_during = 0.02;  // parts of the attempts, to be tried again
  Span far{};                                // from `from` on and for good each answer takes so much longer
  std::size_t stalled = 0;  // so many routers stand still for 3 s in the middle; clients go elsewhere
};

struct Second {
  double worth = 0, asked = 0, best = 0;  // earned; of all first tries; what one who sees all could earn
  std::uint64_t taken = 0, further = 0, requests = 0, inverted = 0;
  std::vector<double> rejected, served;  // worth for work, of what is within its ration
};

class Town {
 public:
  static constexpr std::size_t kWorkers = 20;  // of the origin
  static constexpr double kCapacity = 1000;    // work per second; 20 ms each at a worker, 5 of them always

  explicit Town(TownSetup setup);
  ~Town();
  std::vector<Second>& Run();

 private:
  struct Request {
    std::uint64_t id;
    PriorityInput asked;
    int tries = 0, tenant = 0;
    bool at_once = false;  // its client minds no time told
  };
  struct Router;
  struct Job {
    std::shared_ptr<Request> request;
    std::size_t router;
    Time came;
    std::shared_ptr<bool> given_up;
  };
  bool During() const { return agenda_.now() >= setup_.from && agenda_.now() < setup_.until; }
  bool Stalled(std::size_t r) const;
  Second& Now();
  void Next();
  void Ask(const std::shared_ptr<Request>& request);
  bool Shed(Router& router, const Request& request, Span& come_back);
  void Again(const std::shared_ptr<Request>& request, Span in);
  void Attempt(const std::shared_ptr<Request>& request, std::size_t r, Time came);
  void Serve();
  void End(const Job& job, Span waited);
  void Window(std::size_t r);
  void Tell(std::size_t r, const std::shared_ptr<const LoadSignal>& sign);
  void Deal();
  void Judge(std::size_t second);

  TownSetup setup_;
  world::Agenda agenda_;
  world::Random random_, service_, links_, tries_;
  PriorityOrder order_;
  world::Weighted which_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::deque<Job> queue_;
  std::size_t busy_ = 0;
  std::vector<Second> seconds_;
  std::vector<std::vector<int>> arrived_;  // by second: classes
  double credits_ = 40, waited_ms_ = 0;    // Law::kBreakwater
};

}  // namespace peatbend::twin
