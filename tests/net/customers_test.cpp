// One program, two customers: what differs between them comes from their settings alone. Two routers run side
// by side before backends that do the same to both; only the settings differ.
#include <string>

#include "doctest/doctest.h"
#include "net/stage.h"

namespace peatbend::net::test {
namespace {

struct Customer {
  std::string classes;      // the settings' list of classes
  std::string ceilings;     // further ceilings
  std::string origin_kind;  // the origin's name among the machine kinds
};

// A router with settings of one customer's, before one cache server and an origin.
class CustomerRouter {
 public:
  CustomerRouter(event_base* base, const Customer& customer, int discovery, int backend, int origin)
      : router_(base, Configured(customer, discovery, backend, origin)) {}
  int port() const { return router_.port(); }

 private:
  static std::string Entry(const std::string& name, int port, const std::string& kind) {
    return R"({"name":")" + name + R"(","address":"127.0.0.1:)" + std::to_string(port) +
           R"(","zone":"z","type":")" + kind + R"(","status":"SERVING"})";
  }
  static Config Configured(const Customer& customer, int discovery, int backend, int origin) {
    std::string text =
        R"({"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:)" + std::to_string(discovery) +
        R"(","seed":"7","known":{"index":41,"snapshot":true,"endpoints":[)" + Entry("one", backend, "plain") +
        "," + Entry("store", origin, customer.origin_kind) + R"(]},"settings":{"classes":)" +
        customer.classes + R"(,"tenants":[],"zones":["z"],"flavors":["plain",")" + customer.origin_kind +
        R"("],"discovery":"subscribe","specifics":{"mode":"aside","originKind":1},"replicasOfMe":1,
        "ceilings":{"mayCancel":true,"retryAfter":true,"dialTimeout":250000000,"keepalive":100000000000,)" +
        customer.ceilings + R"(},
        "rules":{"graceToAnswer":20000000,"askEvery":10000000000,"startCapacity":0.14,"warmAfter":24000000000,
                 "drainGrace":250000000,"fallMultiple":3.0,"tipAfter":2000000000},"tick":5000000}})";
    return ReadConfig({.json = text}, [](const char*) -> const char* { return nullptr; });
  }
  Router router_;
};

// The same names mean different things: "orders" is unsafe at the first and safe at the second, which lists
// it second.
const Customer kFirst{
    R"([{"name":"orders","objective":300000000,"deadline":2000000000,"effect":"non_idempotent"},
        {"name":"prices","objective":300000000,"deadline":2000000000,"effect":"read_like"}])",
    R"("tryLimit":4,"maxRetryAfter":80000000,"secondCopies":false)", "ledger"};
const Customer kSecond{
    R"([{"name":"prices","objective":300000000,"deadline":2000000000,"effect":"non_idempotent"},
        {"name":"orders","objective":300000000,"deadline":2000000000,"effect":"read_like"}])",
    R"("tryLimit":2,"maxRetryAfter":900000000,"secondCopies":true)", "vault"};

class TwoCustomers {
 public:
  // Every backend reads a whole request and closes without an answer: it may have run.
  static void BreaksOff(End& end) {
    if (end.got.ends_with("\r\n")) end.Hang();
  }

  // The answer that the router at `port` gives.
  std::string Ask(int port, const std::string& command) {
    clients_.emplace_back(base.get(), -1);
    End& client = clients_.back();
    client.Connect(port);
    client.Say(command);
    RunUntil(base.get(), [&] { return client.got.ends_with("\r\n"); });
    return client.got;
  }
  std::size_t Requests() const { return backend.Count("OBJ.GET") + origin.Count("X-Facts"); }

  EventBasePtr base = NewEventBase();
  Peer backend{base.get(), BreaksOff}, origin{base.get(), BreaksOff}, discovery{base.get()};
  CustomerRouter first{base.get(), kFirst, discovery.port, backend.port, origin.port};
  CustomerRouter second{base.get(), kSecond, discovery.port, backend.port, origin.port};

 private:
  std::list<End> clients_;
};

std::string Read(const std::string& cls) { return Get(kKey, "c=" + cls + ",d=1500"); }

}  // namespace

TEST_CASE("customers: a class of the same name is repeated only where the settings call it safe") {
  TwoCustomers both;
  CHECK(both.Ask(both.first.port(), Read("orders")).starts_with("-ERR"));
  CHECK(both.Requests() == 1);
  both.Ask(both.second.port(), Read("orders"));
  CHECK(both.Requests() == 3);  // a first attempt and one more: its settings allow two
}

TEST_CASE("customers: an unsafe class is sent once, whatever its place in the list") {
  TwoCustomers both;
  CHECK(both.Ask(both.second.port(), Read("prices")).starts_with("-ERR"));
  CHECK(both.Requests() == 1);
}

TEST_CASE("customers: the time to come back is at most what each one's settings allow") {
  TwoCustomers both;
  std::string told_first = both.Ask(both.first.port(), Read("prices"));
  std::string told_second = both.Ask(both.second.port(), Read("orders"));
  CHECK(told_first == "-BUSY 20\r\n");    // a quarter of 80 ms
  CHECK(told_second == "-BUSY 225\r\n");  // a quarter of 900 ms
}

TEST_CASE("customers: a class that only another customer has is not known") {
  TwoCustomers both;
  CHECK(both.Ask(both.first.port(), Read("read")).starts_with("-ERR"));
  CHECK(both.Requests() == 0);
}

}  // namespace peatbend::net::test
