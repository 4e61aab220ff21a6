// Real router processes that check payloads against the schemas that their fleet has accepted, with faults in
// and between them. The one server behind them records which requests passed.
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <thread>

#include "admin/ask.h"
#include "compat/records.h"
#include "processes/peer_fleet.h"

namespace peatbend::compat::test {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kClasses = 4;   // each with a subject of its own
constexpr std::size_t kReplicas = 3;  // the routers r0 to r2

const std::string kOther =
    Record(R"({"name":"b","type":"int","default":0},{"name":"c","type":"int","default":0})");

std::string Bulk(const std::string& text) { return fmt::format("${}\r\n{}\r\n", text.size(), text); }

int ConnectTo(const std::string& address) {
  std::size_t colon = address.rfind(':');
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &at.sin_addr);
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval timeout{5, 0};
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  REQUIRE(connect(socket, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
  return socket;
}

// Answers every command with a value, and records what it receives.
class Member {
 public:
  Member() : listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in any{};
    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof any;
    REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&any), size) == 0);
    REQUIRE(listen(listener_, 64) == 0);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&any), &size);
    port_ = ntohs(any.sin_port);
    thread_ = std::thread([this] { Serve(); });
  }
  ~Member() {
    stopping_ = true;
    thread_.join();
  }
  int port() const { return port_; }
  // Whether a request with this fact arrived.
  bool Saw(const std::string& fact) const {
    std::lock_guard hold(lock_);
    return received_.find(fact) != std::string::npos;
  }

 private:
  void Serve() {
    std::vector<pollfd> all{{listener_, POLLIN, 0}};
    std::string text(4096, '\0');
    while (!stopping_) {
      poll(all.data(), all.size(), 20);
      if (all[0].revents != 0) all.push_back({accept(listener_, nullptr, nullptr), POLLIN, 0});
      for (std::size_t i = 1; i < all.size(); ++i) {
        if (all[i].fd < 0 || all[i].revents == 0) continue;
        ssize_t got = recv(all[i].fd, text.data(), text.size(), 0);
        if (got <= 0) {
          close(std::exchange(all[i].fd, -1));
          continue;
        }
        std::lock_guard hold(lock_);
        received_.append(text, 0, static_cast<std::size_t>(got));
        std::string answer = "*3\r\n" + Bulk("value") + Bulk("hit") + "$-1\r\n";
        if (text[static_cast<std::size_t>(got) - 1] == '\n')
          send(all[i].fd, answer.data(), answer.size(), MSG_NOSIGNAL);
      }
    }
    for (const pollfd& one : all) close(one.fd);
  }

  int listener_, port_ = 0;
  std::atomic<bool> stopping_ = false;
  mutable std::mutex lock_;
  std::string received_;
  std::thread thread_;
};

// Routers r0 to r2 hold the registry's replicas. Each router has the first two schemas of each subject in its
// folder.
class Fleet {
 public:
  explicit Fleet(std::size_t size, bool on = true)
      : folder_(
            (std::filesystem::temp_directory_path() / fmt::format("peatbend-schemas-{}", getpid())).string()),
        fleet_((std::filesystem::remove_all(folder_), PEATBEND_ROUTER), folder_, size, 1) {
    std::string classes;
    for (std::size_t c = 0; c < kClasses; ++c)
      classes += fmt::format(
          R"({}{{"name":"c{}","objective":600000000,"deadline":2000000000,"effect":"read_like"}})",
          c == 0 ? "" : ",", c);
    for (std::size_t i = 0; i < size; ++i) {
      fleet_.process(i).Write(fmt::format(
          R"({{"known":{{"index":1,"snapshot":true,"endpoints":[{{"name":"box","address":"127.0.0.1:{}","zone":"a","type":"box","status":"SERVING"}}]}},
"settings":{{"classes":[{}],"tenants":[{{"name":"north","share":1}},{{"name":"isles","share":1}}],"zones":["a"],"flavors":["box"],
"discovery":"subscribe","replicasOfMe":{},"ceilings":{{"tryLimit":3,"retryAfter":true,"maxRetryAfter":2000000000,"dialTimeout":250000000,"keepalive":100000000000}}}}}})",
          member_.port(), classes, size));
      std::ofstream file(fleet_.process(i).folder() + "/router.toml", std::ios::app);
      if (on)
        file << fmt::format(
            "[publications]\nseats = [\"r0/a\", \"r1/a\", \"r2/a\"]\nfolder = \"{}/register\"\nfound = "
            "true\n",
            fleet_.process(i).folder());
      for (std::size_t c = 0; on && c < kClasses; ++c) {
        file << fmt::format(
            "[[publications.subjects]]\nname = \"s{0}\"\nclasses = [\"c{0}\"]\nfranchisees = [\"north\"]\n"
            "version = \"pv\"\nreader = \"rd\"\nreads = \"rv\"\nschemas = \"{1}\"\n",
            c, Schemas(i, c));
        std::filesystem::create_directories(Schemas(i, c));
        Write(i, c, 1, kOld);
        Write(i, c, 2, kNew);
      }
    }
    for (std::size_t i = 0; i < size; ++i) fleet_.Start(i);
    REQUIRE_MESSAGE(fleet_.Agree(10s), fleet_.Difference());
    for (std::size_t i = 0; on && i < size * kClasses; ++i) REQUIRE(Accepted(i / kClasses, i % kClasses, 2));
    // Two voting replicas are enough so far; a test that stops one of three needs the third.
    for (std::size_t replica = 0; on && replica < kReplicas; ++replica)
      REQUIRE(Until([&] { return Votes(replica); }));
  }
  ~Fleet() {
    CHECK(fleet_.Crashed().empty());
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  processes::PeerFleet& fleet() { return fleet_; }
  const Member& member() const { return member_; }
  std::string Schemas(std::size_t node, std::size_t cls) {
    return fmt::format("{}/s{}", fleet_.process(node).folder(), cls);
  }
  void Write(std::size_t node, std::size_t cls, int version, const std::string& schema) {
    std::ofstream(fmt::format("{}/{}.avsc", Schemas(node, cls), version)) << schema;
  }
  void Propose(std::size_t node, std::size_t cls, int version, const std::string& schema) {
    Write(node, cls, version, schema);
    fleet_.process(node).Signal(SIGHUP);
  }
  // The first line of the answer: "$5", "-BUSY MS" or "-ERR ...".
  std::string Ask(std::size_t node, bool write, std::size_t cls, const std::string& facts,
                  const std::string& tenant = "north") {
    int socket = ConnectTo(fleet_.process(node).address());
    std::string text = fmt::format("*{}\r\n{}{}{}{}", write ? 5 : 4, Bulk(write ? "OBJ.SET" : "OBJ.GET"),
                                   Bulk("k"), Bulk(fmt::format("id{}", ++asked_)),
                                   Bulk(fmt::format("c=c{},t={}{}", cls, tenant, facts)));
    if (write) text += Bulk("payload");
    send(socket, text.data(), text.size(), MSG_NOSIGNAL);
    std::string line;
    for (char c = 0; recv(socket, &c, 1, 0) == 1 && c != '\r';) line += c;
    close(socket);
    return line;
  }
  bool Takes(std::size_t node, bool write, std::size_t cls, const std::string& facts) {
    return Ask(node, write, cls, facts) == "$5";
  }
  std::string Dump(std::size_t node) try {
    return net::AskRouter(fleet_.Admin(node), "DUMP");
  } catch (const std::exception&) {
    return {};
  }
  bool Accepted(std::size_t node, std::size_t cls, int version) {
    return Until([&] {
      return Dump(node).find(fmt::format("payloads.s{}.accepted={}\n", cls, version)) != std::string::npos;
    });
  }
  bool Votes(std::size_t replica) {
    return Dump(replica).find("publications.votes=1\n") != std::string::npos;
  }
  std::string Refused(std::size_t node, std::size_t cls) {
    std::string dump = Dump(node), key = fmt::format("payloads.s{}_refused=", cls);
    std::size_t at = dump.find(key);
    return at == std::string::npos ? "" : dump.substr(at + key.size(), dump.find('\n', at) - at - key.size());
  }
  template <typename F>
  static bool Until(F holds, Clock::duration within = 20s) {
    for (auto until = Clock::now() + within; !holds();) {
      if (Clock::now() > until) return false;
      std::this_thread::sleep_for(10ms);
    }
    return true;
  }

 private:
  Member member_;
  std::string folder_;
  processes::PeerFleet fleet_;
  int asked_ = 0;
};

TEST_CASE("schemas writes: only an accepted version reaches a server, at each router") {
  Fleet fleet(3);
  for (std::size_t i : {0, 1, 2}) {
    CHECK(fleet.Takes(i, true, 1, ",pv=2"));
    CHECK(fleet.Ask(i, true, 1, ",pv=7").starts_with("-BUSY 1000"));
    CHECK(fleet.Ask(i, true, 1, "").starts_with("-BUSY 2000"));
    CHECK(fleet.Ask(i, true, 1, ",pv=7", "isles") == "$5");  // not covered
  }
  CHECK(fleet.Takes(0, false, 1, ""));
  CHECK(fleet.Ask(0, false, 1, ",rd=ann,rv=1").starts_with("-BUSY 200"));
  CHECK(Fleet::Until([&] { return fleet.Takes(1, false, 1, ",rd=ann,rv=1"); }));
  CHECK(fleet.Ask(2, false, 1, ",rd=ann,rv=3").starts_with("-BUSY 2000"));
  CHECK_FALSE(fleet.member().Saw("t=north,pv=7"));
}

TEST_CASE("schemas off: without subjects every version passes") {
  Fleet fleet(1, false);
  CHECK(fleet.Takes(0, true, 1, ",pv=7"));
  CHECK(fleet.Dump(0).find("payloads.") == std::string::npos);
}

// Each subject once, with a different order and delay between the two.
TEST_CASE(
    "schemas crossing: a version and a registering reader that it breaks, at two routers; one is accepted") {
  Fleet fleet(5);
  int published = 0;
  for (std::size_t c = 0; c < kClasses; ++c) {
    if (c % 2 == 0) fleet.Propose(3, c, 3, kWithout);
    std::this_thread::sleep_for(c < 2 ? 0ms : 4ms);
    fleet.Ask(4, false, c, ",rd=ann,rv=1");
    if (c % 2 == 1) fleet.Propose(3, c, 3, kWithout);
    bool reads = false, writes = false;
    CHECK(Fleet::Until([&] {
      reads = reads || fleet.Takes(4, false, c, ",rd=ann,rv=1");
      writes = writes || fleet.Takes(3, true, c, ",pv=3");
      return reads ? !fleet.Refused(3, c).empty() : writes;
    }));
    CHECK(reads != writes);
    published += writes ? 1 : 0;
    if (reads) {
      CHECK(fleet.Refused(3, c).find("$.a: default: ") != std::string::npos);
      CHECK(fleet.Refused(3, c).find("read by ann") != std::string::npos);
    }
    for (std::size_t i = 0; i < 5; ++i) {
      CHECK(Fleet::Until([&] { return fleet.Takes(i, true, c, ",pv=3") == writes; }));
      CHECK(Fleet::Until([&] { return fleet.Takes(i, false, c, ",rd=ann,rv=1") == reads; }));
    }
    bool both = fleet.member().Saw(fmt::format("c=c{},t=north,pv=3", c)) &&
                fleet.member().Saw(fmt::format("c=c{},t=north,rd=ann", c));
    CHECK_FALSE(both);
  }
  MESSAGE(published, " of 4 versions were first");
}

TEST_CASE("schemas parts: two publishers in a partition; one is accepted for all") {
  Fleet fleet(5);
  fleet.fleet().Split({0, 3}, {1, 2, 4}, true);
  fleet.Propose(3, 0, 3, kWithout);
  fleet.Propose(4, 0, 3, kOther);
  CHECK(Fleet::Until([&] { return fleet.Takes(1, true, 0, ",pv=3"); }));
  CHECK(fleet.Takes(0, true, 0, ",pv=2"));
  for (std::size_t i : {0, 3}) CHECK(fleet.Ask(i, true, 0, ",pv=3").starts_with("-BUSY"));
  // A reader that registers there gets no final answer without a majority.
  CHECK(fleet.Ask(3, false, 0, ",rd=ann,rv=1").starts_with("-BUSY"));
  fleet.fleet().Split({0, 3}, {1, 2, 4}, false);
  CHECK(Fleet::Until([&] { return fleet.Takes(3, true, 0, ",pv=3"); }));
  CHECK(Fleet::Until([&] {
    return fleet.Refused(3, 0).find("another has been accepted under this number") != std::string::npos;
  }));
  CHECK(fleet.Refused(4, 0).empty());
  CHECK(fleet.Ask(3, false, 0, ",rd=ann,rv=1").starts_with("-BUSY"));
  CHECK_FALSE(fleet.member().Saw("rd=ann"));
}

TEST_CASE("schemas kill: accepted versions and readers survive the death of each replica in turn") {
  Fleet fleet(5);
  CHECK(Fleet::Until([&] { return fleet.Takes(4, false, 0, ",rd=ann,rv=1"); }));
  for (std::size_t replica : {0, 1, 2}) {
    fleet.fleet().Kill(replica);
    fleet.fleet().Kill(3);
    for (std::size_t i : {(replica + 1) % 3, (replica + 2) % 3, std::size_t{4}}) {
      CHECK(fleet.Takes(i, true, 0, ",pv=2"));
      CHECK(fleet.Ask(i, true, 0, ",pv=3").starts_with("-BUSY"));
    }
    fleet.Propose(4, 0, 3, kWithout);  // breaks ann, who is silent
    CHECK(Fleet::Until([&] { return fleet.Refused(4, 0).find("read by ann") != std::string::npos; }));
    fleet.fleet().Start(replica);
    fleet.fleet().Start(3);
    for (std::size_t i : {replica, std::size_t{3}}) {
      CHECK(fleet.Accepted(i, 0, 2));
      CHECK(fleet.Takes(i, true, 0, ",pv=2"));
      CHECK(fleet.Takes(i, false, 0, ",rd=ann,rv=1"));
    }
    REQUIRE(fleet.fleet().Agree(20s));
    // It has no folder, so it votes after syncs from both others; until then another death would leave no
    // majority.
    CHECK(Fleet::Until([&] { return fleet.Votes(replica); }));
  }
}

}  // namespace
}  // namespace peatbend::compat::test
