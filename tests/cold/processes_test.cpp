// Many processes of the real program before one cache server that has just started: all of them are asked for
// its keys at the same moment, and what comes to it is counted.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <filesystem>
#include <map>
#include <random>
#include <set>
#include <thread>

#include "net/stage.h"
#include "processes/router_process.h"
#include "protocol/resp.h"

namespace peatbend::processes {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using net::test::End;
using net::test::Peer;

constexpr std::size_t kRouters = 30, kMembers = 6, kCold = 2, kKeys = 180;
constexpr auto kEach = 500ms;  // between two requests to one router, until the burst
// What a member that is warm answers a second, and the rules that the routers are told.
constexpr double kCapacity = static_cast<double>(kRouters) / 0.5 / kMembers;
constexpr double kStartCapacity = 0.14, kWarmAfterS = 300, kFallMultiple = 3, kTipAfterS = 2;

std::string Key(std::size_t number) { return std::to_string(1000 + number); }

// Members that answer each read at once, discovery that tells of one's start, and routers with a client each.
class Town {
 public:
  Town() : discovery_(base_.get(), [this](End& end) { OpenWatch(end); }), origin_(base_.get(), Fetched) {
    std::filesystem::remove_all(folder_);
    for (std::size_t i = 0; i < kMembers; ++i) {
      members_.push_back(std::make_unique<Peer>(base_.get(), [this, i](End& end) { Serve(end, i); }));
    }
    for (std::size_t i = 0; i < kRouters; ++i) StartRouter(i);
    for (auto& router : routers_) Connect(*router);
    Until([this] { return watches_.size() == kRouters; });
  }
  ~Town() {
    for (auto& router : routers_) CHECK(waitpid(router->pid(), nullptr, WNOHANG) == 0);  // none has ended
    routers_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  void Ask(std::size_t router, std::size_t key) {
    using net::test::Bulk;
    clients_[router].Say("*4\r\n" + Bulk("OBJ.GET") + Bulk(Key(key)) + Bulk("i" + std::to_string(++asked_)) +
                         Bulk("c=read,t=acme,d=2000"));
  }
  // Each router gets a request for one of these keys every kEach.
  void Play(Clock::duration lasts, const std::vector<std::size_t>& keys) {
    auto from = Clock::now();
    std::size_t asked = 0;
    Until([&] {
      auto since = Clock::now() - from;
      for (; asked * (Clock::duration(kEach) / kRouters) < since; ++asked) {
        Ask(asked % kRouters, keys[random_() % keys.size()]);
      }
      return since >= lasts;
    });
  }
  // Each router gets ten requests for these keys, in one moment.
  void Burst(const std::vector<std::size_t>& keys) {
    for (std::size_t router = 0; router < kRouters; ++router) {
      for (int i = 0; i < 10; ++i) Ask(router, keys[random_() % keys.size()]);
    }
  }
  void RestartCold() {
    started_ = Clock::now();
    auto now = std::chrono::system_clock::now().time_since_epoch();
    since_ms_ = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    for (End* watch : watches_) {
      watch->Say(net::test::Chunk(R"({"index":43,"snapshot":false,"endpoints":[)" + Listing(kCold) + "]}"));
    }
    at_cold_.clear();
  }
  void Until(const std::function<bool()>& holds) { net::test::RunUntil(base_.get(), holds, 60s); }

  // Keys whose member is the cold one, or another.
  std::vector<std::size_t> KeysOf(bool cold) const {
    std::vector<std::size_t> found;
    for (std::size_t key = 0; key < kKeys; ++key) {
      auto at = owner_.find(Key(key));
      if (at != owner_.end() && (at->second == kCold) == cold) found.push_back(key);
    }
    return found;
  }
  std::size_t at_cold() const { return at_cold_.size(); }
  // By how many requests it got too many in the worst span.
  double WorstExcess() const {
    double worst = -1e9;
    for (std::size_t last = 0, first = 0; last < at_cold_.size(); ++last) {
      while (at_cold_[last] - at_cold_[first] >= kTipAfterS) ++first;
      double n = kFallMultiple * Warmth(at_cold_[last] - kTipAfterS / 2) * kCapacity * kTipAfterS;
      double most = n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
      worst = std::max(worst, static_cast<double>(last - first + 1) - most);
    }
    return worst;
  }

 private:
  std::string Listing(std::size_t member) const {
    std::string since = member == kCold ? R"(,"since_ms":)" + std::to_string(since_ms_) : "";
    return net::test::Member("box-" + std::to_string(member), members_[member]->port, since);
  }
  std::string List() const {
    std::string all = net::test::Member("origin", origin_.port);
    for (std::size_t i = 0; i < kMembers; ++i) all += "," + Listing(i);
    return R"({"index":42,"snapshot":true,"endpoints":[)" + all + "]}";
  }
  void OpenWatch(End& end) {
    if (end.got.find("\r\n\r\n") == std::string::npos || end.got.find("watch=1") == std::string::npos) return;
    end.got.clear();
    end.Say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + net::test::Chunk(List()));
    watches_.insert(&end);
  }
  static void Fetched(End& end) {
    if (!end.got.ends_with("\r\n\r\n")) return;
    end.got.clear();
    end.Say("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv");
  }
  void Serve(End& end, std::size_t member) {
    for (;;) {
      net::resp::Parser parser;
      if (end.got.empty() || parser.Advance(end.got) != net::resp::Parser::Status::kDone) return;
      const auto& message = parser.message();
      std::string key(message.items.size() > 1 ? message.items[1].In(end.got) : "");
      owner_.try_emplace(key, member);
      if (member == kCold) at_cold_.push_back(SecondsFromStart());
      end.got.erase(0, message.size);
      end.Say(Takes(member) ? net::test::Value("v") : "-BUSY\r\n");
    }
  }
  // A member answers what it can, of which half a second's may come at once, and turns the rest away.
  bool Takes(std::size_t member) {
    double can = kCapacity;
    if (member == kCold && since_ms_ > 0) can *= Warmth(SecondsFromStart());
    auto& [left, at] = room_[member];
    left = std::min(can / 2, left + can * std::chrono::duration<double>(Clock::now() - at).count());
    at = Clock::now();
    return left >= 1 && (left -= 1, true);
  }
  static double Warmth(double age) {
    return kStartCapacity + (1 - kStartCapacity) * std::max(0.0, age) / kWarmAfterS;
  }
  double SecondsFromStart() const { return std::chrono::duration<double>(Clock::now() - started_).count(); }

  void StartRouter(std::size_t i) {
    std::string host = "127.18." + std::to_string(1 + getpid() % 250) + "." + std::to_string(1 + i);
    std::string name = "r" + std::to_string(i), address = host + ":" + std::to_string(FreePort(host));
    routers_.push_back(std::make_unique<RouterProcess>(PEATBEND_ROUTER, "", folder_ + "/" + name, address));
    routers_.back()->Write(R"({"name":")" + name + R"(","listen":")" + address +
                           R"(","discovery":"127.0.0.1:)" + std::to_string(discovery_.port) +
                           R"(","seed":")" + std::to_string(100 + i) +
                           R"(","limits":{"sockets":256,"memory_mb":96},"known":)" + List() + R"(,"settings":{
        "classes":[{"name":"read","objective":600000000,"deadline":2000000000,"effect":"read_like"}],
        "tenants":[{"name":"acme","share":1}],"zones":["a"],"flavors":["box","origin"],
        "discovery":"subscribe","specifics":{"mode":"aside","originKind":1},"replicasOfMe":)" +
                           std::to_string(kRouters) + R"(,"index":)" + std::to_string(i) + R"(,
        "ceilings":{"tryLimit":5,"mayCancel":true,"dialTimeout":250000000,"keepalive":10000000000},
        "rules":{"graceToAnswer":20000000,"askEvery":10000000000,"startCapacity":0.14,"warmAfter":300000000000,
                 "drainGrace":250000000,"fallMultiple":3.0,"tipAfter":2000000000},"tick":5000000}})");
    routers_.back()->Start();
  }
  // As soon as it listens.
  void Connect(const RouterProcess& router) {
    const std::string& address = router.address();
    sockaddr_in to = net::test::Loopback(std::stoi(address.substr(address.rfind(':') + 1)));
    inet_pton(AF_INET, address.substr(0, address.rfind(':')).c_str(), &to.sin_addr);
    evutil_socket_t socket = -1;
    Until([&] {
      socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      if (connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0) return true;
      close(socket);
      return false;
    });
    evutil_make_socket_nonblocking(socket);
    clients_.emplace_back(base_.get(), socket);
  }

  std::string folder_ =
      (std::filesystem::temp_directory_path() / ("peatbend-cold-" + std::to_string(getpid()))).string();
  net::EventBasePtr base_{event_base_new()};
  std::vector<std::unique_ptr<Peer>> members_;
  Peer discovery_, origin_;
  std::set<End*> watches_;
  std::vector<std::unique_ptr<RouterProcess>> routers_;
  std::deque<End> clients_;
  std::map<std::string, std::size_t> owner_;  // the member that a key came to first, all being warm
  std::vector<double> at_cold_;               // when requests came to it, seconds from its start
  std::map<std::size_t, std::pair<double, Clock::time_point>> room_;
  Clock::time_point started_ = Clock::now();
  std::int64_t since_ms_ = 0;
  std::uint64_t asked_ = 0;
  std::mt19937_64 random_{5};
};

TEST_CASE("cold: thirty routers that are asked for its keys at once send it no more than it can take") {
  Town town;
  std::vector<std::size_t> all(kKeys);
  for (std::size_t key = 0; key < kKeys; ++key) all[key] = key;
  town.Play(8s, all);
  std::vector<std::size_t> cold = town.KeysOf(true), others = town.KeysOf(false);
  REQUIRE(cold.size() >= 10);  // a few of which are handed to it at once
  town.RestartCold();
  town.Play(14s, others);  // so long nobody asks for its keys, and what may be sent is saved up
  for (int i = 0; i < 10; ++i) {
    town.Burst(cold);
    town.Play(200ms, others);
  }
  MESSAGE(town.at_cold() << " requests came to it, in the worst span over the rule by "
                         << town.WorstExcess());
  CHECK(town.WorstExcess() <= 0);
  CHECK(town.at_cold() > 0);
}

}  // namespace
}  // namespace peatbend::processes
