// Routers' desks on simulated links and clocks, with clients that come back and one server that counts
// effects. The same seed gives the same run. The rules are checked on what the server and the clients see.
#pragma once

#include <fmt/format.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lab/rules.h"
#include "takeover/desk.h"
#include "takeover/wire.h"
#include "world/agenda.h"
#include "world/random.h"

namespace peatbend::takeover::test {

using namespace std::chrono_literals;

struct WorldSetup {
  std::size_t routers = 20;
  std::uint64_t seed = 1;
  double loss = 0, duplicate = 0;
  bool serve_alone = false, off = false;
  Span notice = 1200ms;  // a death, until it is known
};

class DeskWorld {
 public:
  static constexpr Span kDeadline = 2500ms, kWindow = 1500ms;

  explicit DeskWorld(WorldSetup setup) : setup_(setup), random_(setup.seed, 3), seats_(Names(setup.routers)) {
    routers_.resize(setup.routers);
    for (std::size_t r = 0; r < routers_.size(); ++r) Start(r, -1h);
  }

  world::Agenda& agenda() { return agenda_; }
  world::Random& random() { return random_; }
  Time now() const { return agenda_.now(); }

  void Kill(std::size_t r) {
    Router& router = routers_[r];
    if (!router.desk) return;
    dead_[{router.name, router.life}] = now();
    router.desk.reset();
    std::vector<std::size_t> left;
    for (auto& [number, asker] : router.askers) left.push_back(asker);
    router.askers.clear();
    for (std::size_t asker : left) ClientLost(asker);
  }
  void Start(std::size_t r, Time now) {
    Router& router = routers_[r];
    if (router.desk) return;
    router.name = Name(r);
    router.life = ++lives_;
    router.armed = {};
    router.waiting.clear();
    router.still_until = {};
    DeskOptions options;
    options.serve_alone = setup_.serve_alone;
    options.keep.life = 8s;
    router.desk =
        std::make_unique<Desk>(options, seats_, router.name, router.life, now, [this](const Author& author) {
          auto at = dead_.find({author.name, author.life});
          return at != dead_.end() && this->now() >= at->second + setup_.notice;
        });
  }
  bool up(std::size_t r) const { return routers_[r].desk != nullptr; }
  void Stall(std::size_t r, Span span) {
    routers_[r].still_until = now() + span;
    Wake(r);
  }
  void Cut(std::size_t from, std::size_t to, bool cut) {
    cut ? (void)cuts_.insert({from, to}) : (void)cuts_.erase({from, to});
  }

  // A client's work; it comes back to another router when the one that it asked is lost, as its class allows.
  void Ask(Effect effect) {
    Work work;
    work.cls.effect = effect;
    work.cls.window = kWindow;
    work.at = now();
    work.left = now() + kDeadline;
    work.id = fmt::format("w{}", works_.size());
    works_.push_back(std::move(work));
    AskAt(works_.size() - 1, Live());
  }
  // Asked for a second time at the same moment, at another router.
  void AskTwice(Effect effect) {
    Ask(effect);
    AskAt(works_.size() - 1, Live());
  }

  struct Outcome {
    std::size_t asked = 0, ended = 0, lost_router = 0, of_lost_ended = 0, unsafe_twice = 0, keyed_late = 0,
                two_ends = 0, unanswered = 0, late = 0, values = 0, failed = 0, rejected = 0;
  };
  Outcome Reckon() const {
    Outcome sum = sum_;
    for (const Work& work : works_) {
      ++sum.asked;
      bool ended = !work.end.empty();
      sum.ended += ended ? 1 : 0;
      sum.lost_router += work.router_lost ? 1 : 0;
      sum.of_lost_ended += work.router_lost && ended ? 1 : 0;
      sum.values += work.end.starts_with("value") ? 1 : 0;
      sum.failed += work.end.starts_with("failed") ? 1 : 0;
      sum.rejected += work.rejects;
    }
    for (const auto& router : routers_) sum.unanswered += router.askers.size();
    return sum;
  }
  std::size_t size() const { return routers_.size(); }
  std::uint64_t messages = 0, bytes = 0;
  std::vector<Span> answered_after;  // a kill, in the works that it hit

 private:
  struct Router {
    std::string name;
    std::uint64_t life = 0;
    std::unique_ptr<Desk> desk;
    Desk::Number last = 0;
    std::map<Desk::Number, std::size_t> askers;  // the work of each open request
    std::map<Desk::Number, Time> until;
    Time still_until{};
    Time armed{};
    std::vector<std::function<void()>> waiting;
  };
  struct Work {
    std::string id;
    ClassSettings cls;
    Time at{}, left{}, first_ran{-1}, lost_at{-1};
    int ran = 0, rejects = 0, tries = 0;
    bool router_lost = false;
    std::string end;
  };

  static std::string Name(std::size_t r) { return fmt::format("r{:03}", r); }
  static std::vector<SeatName> Names(std::size_t routers) {
    std::vector<SeatName> names;
    for (std::size_t r = 0; r < routers; ++r) names.push_back({Name(r), r % 2 == 0 ? "east" : "west"});
    return names;
  }
  std::size_t Live() {
    for (int i = 0; i < 1000; ++i) {
      auto r = static_cast<std::size_t>(random_.Unit() * static_cast<double>(routers_.size()));
      if (r < routers_.size() && routers_[r].desk && routers_[r].still_until <= now()) return r;
    }
    return 0;
  }

  void AskAt(std::size_t w, std::size_t r) {
    Router& router = routers_[r];
    Work& work = works_[w];
    if (!router.desk || now() >= work.left) return;
    ++work.tries;
    Desk::Number number = ++router.last;
    router.askers[number] = w;
    router.until[number] = work.left;
    router.desk->Open(now(), number, work.id, work.cls, work.left);
    router.desk->Want(now(), number, "m" + std::to_string(w % 5));
    // As the module does when the client's time is over.
    agenda_.At(work.left - 5ms, [this, r, number, life = router.life] {
      On(r, life, [this, r, number] {
        if (!routers_[r].askers.contains(number)) return;
        routers_[r].desk->Finish(now(), number, End::kFailed);
        Flush(r);
      });
    });
    agenda_.At(work.left + 60ms, [this, r, number, life = router.life] {
      Router& one = routers_[r];
      if (one.life == life && one.desk && one.askers.contains(number) && one.still_until + 100ms < now())
        ++sum_.late;
    });
    Flush(r);
  }

  // Its router was killed: it asks another a little later.
  void ClientLost(std::size_t w) {
    Work& work = works_[w];
    if (work.left - now() >= 2s && work.end.empty()) work.router_lost = true, work.lost_at = now();
    agenda_.In(20ms + Any(80ms), [this, w] { AskAt(w, Live()); });
  }
  Span Any(Span most) {
    return Span(static_cast<Span::rep>(random_.Unit() * static_cast<double>(most.count())));
  }

  void Wake(std::size_t r) {
    agenda_.At(routers_[r].still_until, [this, r, life = routers_[r].life] {
      Router& one = routers_[r];
      if (one.life != life || !one.desk || one.still_until > now()) return;
      for (auto& each : std::exchange(one.waiting, {})) each();
      one.desk->Tick(now());
      Flush(r);
    });
  }
  // On the router's own loop, or once it goes on.
  void On(std::size_t r, std::uint64_t life, std::function<void()> what) {
    Router& router = routers_[r];
    if (!router.desk || router.life != life) return;
    if (router.still_until > now()) return router.waiting.push_back(std::move(what));
    what();
  }

  void Flush(std::size_t r) {
    Router& router = routers_[r];
    if (!router.desk) return;
    std::map<std::string, std::vector<Message>> parcels;
    for (Desk::Out& out : router.desk->TakeOut()) parcels[out.router].push_back(std::move(out.message));
    for (auto& [to, all] : parcels) Send(r, to, all);
    for (Desk::Say& say : router.desk->TakeSaid()) Said(r, say);
    auto due = router.desk->Due();
    if (!due || (router.armed > now() && router.armed <= *due)) return;
    router.armed = std::max(*due, now() + 1ms);
    agenda_.At(router.armed, [this, r, life = router.life] {
      On(r, life, [this, r] {
        routers_[r].desk->Tick(now());
        Flush(r);
      });
    });
  }

  void Send(std::size_t from, const std::string& to_name, const std::vector<Message>& all) {
    std::size_t to = std::stoul(to_name.substr(1));
    std::string text = Encode(seats_.print(), all);
    ++messages;
    bytes += text.size();
    int copies = random_.Unit() < setup_.loss ? 0 : random_.Unit() < setup_.duplicate ? 2 : 1;
    if (cuts_.contains({from, to})) copies = 0;
    for (int i = 0; i < copies; ++i) {
      agenda_.In(300us + Any(700us), [this, from, to, text] {
        if (!routers_[to].desk) return;
        On(to, routers_[to].life, [this, from, to, text] {
          std::vector<Message> messages;
          if (Decode(text, seats_.print(), messages) != DecodeError::kNone) std::abort();
          for (const Message& message : messages) routers_[to].desk->Take(now(), Name(from), message);
          Flush(to);
        });
      });
    }
  }

  void Said(std::size_t r, const Desk::Say& say) {
    Router& router = routers_[r];
    auto at = router.askers.find(say.number);
    if (at == router.askers.end()) return;
    std::size_t w = at->second;
    Work& work = works_[w];
    if (say.what == Desk::Say::What::kSend) {
      // The server has it after a moment, and answers after its work; some dials fail.
      std::uint64_t life = router.life;
      if (random_.Unit() < 0.02) {
        agenda_.In(5ms, [this, r, life, number = say.number, w] {
          On(r, life, [this, r, number, w] {
            routers_[r].desk->Ended(now(), number, false);
            routers_[r].desk->Want(now(), number, "m" + std::to_string(w % 5));
            Flush(r);
          });
        });
        return;
      }
      Ran(work);
      std::string value = fmt::format("{}/{}", work.id, work.cls.effect == Effect::kKeyed ? 1 : work.ran);
      agenda_.In(90ms + Any(90ms), [this, r, life, number = say.number, value] {
        On(r, life, [this, r, number, value] {
          routers_[r].desk->Finish(now(), number, End::kValue, value);
          Flush(r);
        });
      });
      return;
    }
    router.askers.erase(at);
    if (say.end == End::kRejected) {
      ++work.rejects;
      if (work.end.empty() && work.tries < 20) agenda_.In(100ms, [this, w] { AskAt(w, Live()); });
      return;
    }
    bool own = !say.stands;  // says nothing of the work
    std::string text = say.end == End::kValue ? "value " + say.value : "failed";
    if (!own && !work.end.empty() && work.end != text && work.end != "failed late") ++sum_.two_ends;
    if (work.end.empty()) {
      work.end = own ? "failed late" : text;
      if (work.router_lost) answered_after.push_back(now() - work.lost_at);
    }
  }

  void Ran(Work& work) {
    ++work.ran;
    if (work.first_ran < Time{}) work.first_ran = now();
    if (work.ran == 1) return;
    auto judged = lab::JudgeRepeat(work.cls, now() - work.first_ran, 0ms, true);
    if (judged == lab::Repeat::kNever) ++sum_.unsafe_twice;
    if (judged == lab::Repeat::kTooLate) ++sum_.keyed_late;
  }

  WorldSetup setup_;
  world::Agenda agenda_{1s};
  world::Random random_;
  Seats seats_;
  std::vector<Router> routers_;
  std::vector<Work> works_;
  std::map<std::pair<std::string, std::uint64_t>, Time> dead_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::uint64_t lives_ = 0;
  Outcome sum_;
};

}  // namespace peatbend::takeover::test
