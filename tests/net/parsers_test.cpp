// Tables of cases for what strangers write: RESP, HTTP, commands, lists, configuration. Each message is fed
// whole and byte by byte, and must come out alike.
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "discovery/server_list.h"
#include "doctest/doctest.h"
#include "front/client_command.h"
#include "member/server_codec.h"
#include "protocol/facts.h"
#include "protocol/http1.h"
#include "protocol/resp.h"

namespace peatbend::net {
namespace {

using Status = resp::Parser::Status;

std::string Shown(Status status, const resp::Parser& parser, std::string_view text) {
  if (status == Status::kMore) return "more";
  if (status == Status::kBad) return "bad: " + std::string(parser.error());
  std::string shown(1, "*$+-:"[static_cast<int>(parser.message().type)]);
  if (parser.message().null) shown += " null";
  for (const resp::Slice& item : parser.message().items) {
    shown.append(" ").append(item.null ? "(null)" : item.In(text));
  }
  return shown + " /" + std::to_string(parser.message().size);
}

TEST_CASE("RESP messages") {
  const std::string big(resp::kMaxValue, 'x'), length = std::to_string(big.size());
  const struct {
    std::string text, shown;
  } cases[] = {
      {"*2\r\n$3\r\nGET\r\n$1\r\nk\r\n", "* GET k /20"},
      {"*2\r\n$3\r\nGET\r\n$1\r\nk\r\n*1\r\n", "* GET k /20"},  // the next one is left alone
      {"*1\r\n$4\r\na\r\nb\r\n", "* a\r\nb /14"},               // line ends in a value are its own
      {"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n", "* (null) miss (null) /24"},
      {"*0\r\n", "* /4"},
      {"*-1\r\n", "* null /5"},
      {"$2\r\nab\r\n", "$ ab /8"},
      {"$0\r\n\r\n", "$  /6"},
      {"+PONG\r\n", "+ PONG /7"},
      {"-BUSY 20\r\n", "- BUSY 20 /10"},
      {":12\r\n", ": 12 /5"},
      {"*1\r\n$" + length + "\r\n" + big + "\r\n", "* " + big + " /65550"},
      {"", "more"},
      {"*", "more"},
      {"*1\r", "more"},
      {"*1\r\n$3\r\nab", "more"},
      {"*1\r\n$3\r\nabc\r", "more"},
      {"PING\r\n", "bad: unknown type"},
      {"*1\r\n+OK\r\n", "bad: expected a bulk string"},
      {"*x\r\n", "bad: bad array length"},
      {"*\r\n", "bad: bad array length"},
      {"*17\r\n", "bad: bad array length"},
      {"*-2\r\n", "bad: bad array length"},
      {"*1\r\n$65537\r\n", "bad: bad bulk length"},
      {"*1\r\n$99999999999999999999\r\n", "bad: bad bulk length"},
      {"*1\r\n$1 \r\n", "bad: bad bulk length"},
      {"*1\r\n$1\r\nabc", "bad: bulk string not ended"},
      {"+" + std::string(2000, 'y'), "bad: line too long"},
      {"*3\r\n$9000\r\n" + std::string(9000, 'y') + "\r\n$" + length + "\r\n", "bad: message too long"},
  };
  for (const auto& one : cases) {
    CAPTURE(one.text.substr(0, 60));
    resp::Parser whole;
    CHECK(Shown(whole.Advance(one.text), whole, one.text) == one.shown);
    resp::Parser parts;
    Status status = Status::kMore;
    std::size_t step = one.text.size() > 1000 ? 997 : 1;
    for (std::size_t at = 0; at < one.text.size() && status == Status::kMore; at += step) {
      status = parts.Advance(std::string_view(one.text).substr(0, at + step));
    }
    CHECK(Shown(status, parts, one.text) == one.shown);
  }
}

std::string Read(http1::ResponseReader& reader, const std::string& text, std::size_t step) {
  BufferPtr in = NewBuffer();
  auto status = http1::ResponseReader::Status::kMore;
  for (std::size_t at = 0; at < text.size() && status == http1::ResponseReader::Status::kMore; at += step) {
    Append(in.get(), std::string_view(text).substr(at, step));
    status = reader.Read(in.get());
  }
  if (status == http1::ResponseReader::Status::kBad) return "bad: " + std::string(reader.error());
  std::string shown = status == http1::ResponseReader::Status::kDone ? "done" : "more";
  if (reader.AtEnd() == http1::ResponseReader::Status::kDone && shown == "more") shown = "at end";
  return shown + " " + std::to_string(reader.status()) + (reader.keep_alive() ? " keep " : " close ") +
         std::string(Contents(reader.body()));
}

TEST_CASE("HTTP answers") {
  const struct {
    std::string text, shown;
  } cases[] = {
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "done 200 keep abc"},
      {"HTTP/1.1 200 OK\r\ncontent-LENGTH:0\r\n\r\n", "done 200 keep "},
      {"HTTP/1.1 503\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", "done 503 close "},
      {"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nz", "done 200 close z"},
      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n\r\n", "done 204 keep "},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n",
       "done 200 keep abc"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", "more 200 keep ab"},
      {"HTTP/1.1 200 OK\r\n\r\nab", "at end 200 close ab"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", "more 200 keep ab"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n", "bad: body too long"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 1x\r\n\r\n", "bad: bad content length"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", "bad: unknown transfer coding"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", "bad: bad chunk size"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", "bad: chunk not ended"},
      {"HTTP/1.1 2x0 OK\r\n\r\n", "bad: bad status line"},
      {"ICY 200 OK\r\n\r\n", "bad: bad status line"},
      {std::string(20000, 'h'), "bad: head too long"},
      // What tells in two ways where the body ends, or has a line that is no header, cannot be trusted to be
      // whole.
      {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 3\r\n\r\nabc", "bad: bad headers"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", "done 200 keep abc"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "bad: bad headers"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
       "bad: bad headers"},
      {"HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nabc", "bad: bad headers"},
      {"HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 3\r\n\r\nabc", "bad: bad headers"},
      {"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nabc", "bad: bad headers"},
      {"HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 3\r\n\r\nabc", "bad: bad headers"},
      {"HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
       "done 200 keep abc"},
  };
  for (const auto& one : cases) {
    CAPTURE(one.text.substr(0, 90));
    http1::ResponseReader whole(10), parts(10);
    CHECK(Read(whole, one.text, one.text.size()) == one.shown);
    CHECK(Read(parts, one.text, one.text.size() > 1000 ? 1000 : 1) == one.shown);
  }
}

Settings TwoClasses() {
  Settings settings;
  settings.classes.resize(2);
  settings.classes[0].name = "read";
  settings.classes[0].deadline = std::chrono::milliseconds(900);
  settings.classes[1].name = "put";
  settings.classes[1].deadline = std::chrono::milliseconds(1200);
  settings.tenants.resize(1);
  settings.tenants[0].name = "acme";
  settings.zones = {"a", "b"};
  settings.kinds = {"box", "origin"};
  return settings;
}

TEST_CASE("commands of clients") {
  const Settings settings = TwoClasses();
  const struct {
    std::vector<std::string> words;
    std::string shown;  // class tenant write retry milliseconds
  } cases[] = {
      {{"OBJ.GET", "7f3a9c21e0b4d655", "9b1f", "c=read,t=acme,d=480"}, "0 0 0 0 480"},
      {{"obj.get", "k", "9b1f", "c=read,t=nobody,d=480,r=1,size=7"}, "0 -1 0 1 480"},
      {{"OBJ.GET", "k", "9b1f", "c=read"}, "0 -1 0 0 900"},
      {{"OBJ.SET", "k", "9b1f", "c=put,d=5,k=5c0f", "va\r\nlue"}, "1 -1 1 0 5"},
      {{"OBJ.GET", "k", "9b1f", "c=read,d=99999999"}, "0 -1 0 0 900"},  // not longer than its class
      {{"ping"}, "ping"},
      {{"SELECT", "0"}, "polite"},
      {{"QUIT"}, "quit"},
      {{"HELLO", "3"}, "unknown"},
      {{"OBJ.GET", "k", "9b1f", "c=other,d=480"}, "unknown class"},
      {{"OBJ.GET", "k", "9b1f"}, "wrong number of arguments"},
      {{"OBJ.SET", "k", "9b1f", "c=put,d=5"}, "wrong number of arguments"},
      {{"OBJ.GET", "k", "9b1f", "d=480"}, "no class"},
      {{"OBJ.GET", "k", "9b1f", "c=read,d=soon"}, "bad d"},
      {{"OBJ.GET", "k", "9b1f", "c=read,d=-4"}, "bad d"},
      {{"OBJ.GET", "", "9b1f", "c=read,d=4"}, "bad key"},
      {{"OBJ.GET", "k HTTP/1.1\r\nX: y", "9b1f", "c=read,d=4"}, "bad key"},
      {{"OBJ.GET", "k", "9b1f\r\nX: y", "c=read,d=4"}, "bad id"},
      {{"OBJ.GET", "k", "9b1f", "c=read,d=4,x=\r\ny"}, "bad list of names and values"},
  };
  for (const auto& one : cases) {
    std::string text = "*" + std::to_string(one.words.size()) + "\r\n";
    for (const auto& word : one.words) text += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
    CAPTURE(text);
    resp::Parser parser;
    REQUIRE(parser.Advance(text) == Status::kDone);
    ClientCommand command = ReadCommand(parser.message(), text, settings);
    const char* kinds[] = {"", "ping", "polite", "quit", "unknown", "unknown class", ""};
    std::string shown = kinds[static_cast<int>(command.kind)] + std::string(command.complaint);
    if (const Request* r = command.request.get()) {
      using std::to_string;
      shown = to_string(r->cls) + " " + to_string(r->tenant) + " " + to_string(r->write) + " " +
              to_string(r->retry) + " " + to_string(r->remaining.count() / 1000000);
      CHECK(r->key == one.words[1]);
      CHECK(r->facts == one.words[3]);
    }
    CHECK(shown == one.shown);
  }
}

TEST_CASE("only d changes in what is passed on") {
  using std::chrono::milliseconds;
  CHECK(WithLimit("c=read,t=acme,d=480,k=5c,size=9", milliseconds(77)) == "c=read,t=acme,d=77,k=5c,size=9");
  CHECK(WithLimit("d=480", milliseconds(1234)) == "d=1234");
  CHECK(WithLimit("c=read", milliseconds(8)) == "c=read,d=8");
  CHECK(WithLimit("cd=3,d=4", milliseconds(8)) == "cd=3,d=8");
  CHECK(WithLimit("d=480", Duration(1)) == "d=1");
}

TEST_CASE("answers of members and of the origin") {
  using Make = std::unique_ptr<ServerCodec> (*)();
  const struct {
    Make make;
    std::string text;
    Result result;
    std::string value;
    bool malformed, reusable;
  } cases[] = {
      {NewMemberCodec, "*3\r\n$2\r\nab\r\n$3\r\nhit\r\n$-1\r\n", Result::kGood, "ab", false, true},
      {NewMemberCodec, "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n", Result::kMiss, "", false, true},
      {NewMemberCodec, "-ERR failed\r\n", Result::kBad, "", false, true},
      {NewMemberCodec, "-BUSY\r\n", Result::kFull, "", false, true},
      {NewMemberCodec, "-SYNTAX\r\n", Result::kBad, "", true, false},
      {NewMemberCodec, "-ERRfailed\r\n", Result::kBad, "", true, false},
      {NewMemberCodec, "*3\r\n$2\r\nab\r\n$1\r\n?\r\n$3\r\n%%%\r\n", Result::kGood, "ab", false, true},
      {NewMemberCodec, "+OK\r\n", Result::kBad, "", true, false},
      {NewMemberCodec, "*1\r\n$2\r\nab\r\n", Result::kBad, "", true, false},
      {NewMemberCodec, "garbage\r\n", Result::kBad, "", true, false},
      {NewOriginCodec, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", Result::kGood, "ab", false, true},
      {NewOriginCodec, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", Result::kBad, "", false, true},
      {NewOriginCodec, "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", Result::kFull, "",
       false, true},
      {NewOriginCodec, "HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", Result::kFull, "",
       false, true},
      {NewOriginCodec, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", Result::kBad, "", false, true},
      {NewOriginCodec, "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", Result::kBad, "", true, false},
      {NewOriginCodec, "HTTP/1.1 200 OK\r\nX-Backend-Load: TEXT ?\r\nContent-Length: 2\r\n\r\nab",
       Result::kGood, "ab", false, true},
      {NewOriginCodec, "garbage\r\n\r\n", Result::kBad, "", true, false},
  };
  for (const auto& one : cases) {
    CAPTURE(one.text);
    Request request;
    auto codec = one.make();
    BufferPtr out = NewBuffer(), in = NewBuffer();
    codec->Encode(request, std::chrono::seconds(1), out.get());
    std::optional<FlowReply> reply;
    for (char c : one.text) {
      REQUIRE(!reply);
      Append(in.get(), std::string_view(&c, 1));
      reply = codec->Read(in.get());
      if (reply && !reply->complaint.empty()) break;
    }
    REQUIRE(reply);
    CHECK(reply->result == one.result);
    CHECK(reply->complaint.empty() == !one.malformed);
    CHECK(codec->reusable() == one.reusable);
    if (one.result == Result::kGood) CHECK(Contents(reply->value.get()) == one.value);
  }
  LoadReport load = ParseLoadReport("concurrent=3,depth:1.5,odd=x,mean_ms=,tps=7");
  CHECK(load.in_flight == 3);
  CHECK(load.queued == 1.5);
  CHECK(load.per_second == 7);
  CHECK(!load.service_ms);
}

TEST_CASE("lists of servers") {
  const Settings settings = TwoClasses();
  ServerList list = ParseServerList(
      R"({"index":41,"snapshot":true,"endpoints":[
          {"name":"s-1","address":"127.0.0.9:6379","zone":"b","type":"origin","group":3,"status":"DRAINING",
           "weight":1.5,"since_ms":1764583200123},
          {"name":"s-2","status":"DELETED"}]})",
      settings);
  CHECK(list.index == 41);
  CHECK(list.snapshot);
  REQUIRE(list.entries.size() == 2);
  CHECK(list.entries[0].entry.state == ServerState::kDraining);
  CHECK(list.entries[0].entry.zone == 1);
  CHECK(list.entries[0].entry.kind == 1);
  CHECK(list.entries[0].entry.started.time_since_epoch() == std::chrono::milliseconds(1764583200123));
  CHECK(list.entries[1].entry.started == TimePoint{});
  const struct {
    std::string text, fault;
  } bad[] = {
      {"{", "not JSON"},
      {"[]", "an object expected"},
      {R"({"endpoints":[]})", "index"},
      {R"({"index":1})", "endpoints"},
      {R"({"index":1,"endpoints":[7]})", "endpoints"},
      {R"({"index":1,"endpoints":[{"name":"","status":"SERVING"}]})", "name"},
      {R"({"index":1,"endpoints":[{"name":"a","status":"UP","address":"127.0.0.1:1"}]})", "status"},
      {R"({"index":1,"endpoints":[{"name":"a","status":"SERVING"}]})", "address"},
      {R"({"index":1,"endpoints":[{"name":"a","status":"SERVING","address":"here:1"}]})", "address"},
      {R"({"index":1,"endpoints":[{"name":"a","status":"SERVING","address":"127.0.0.1"}]})", "address"},
      {R"({"index":1,"endpoints":[{"name":"a","status":"DELETED","since_ms":-4}]})", "since_ms"},
      {R"({"index":1,"endpoints":[{"name":"a","status":"DELETED","since_ms":"x"}]})", "since_ms"},
  };
  for (const auto& one : bad) {
    CAPTURE(one.text);
    CHECK_THROWS_WITH_AS(ParseServerList(one.text, settings), doctest::Contains(one.fault.c_str()),
                         std::invalid_argument);
  }
}

const char* NoVariable(const char*) { return nullptr; }

TEST_CASE("configuration: what is wrong is named") {
  const std::string settings =
      R"("settings":{"classes":[{"name":"read","deadline":1e9,"objective":500000000}],"zones":["a","b"],
         "ceilings":{"dialTimeout":250000000},"rules":{"warmAfter":24000000000}})";
  Config config = ReadConfig(
      {.json =
           R"({"name":"n3","listen":"127.0.0.1:6379","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",)" +
           settings + "}"},
      [](const char* name) { return std::string(name) == "BALANCER_NAME" ? "n4" : nullptr; });
  CHECK(config.name == "n3");  // the file goes first: a reload could not change a variable
  const std::string no_name = R"({"listen":"127.0.0.1:1",)" + settings + "}";
  config = ReadConfig({.json = no_name}, [](const char* name) {
    return std::string(name) == "BALANCER_NAME" ? "n4" : "127.0.0.1:2";
  });
  CHECK(config.name == "n4");
  CHECK(config.discovery == "127.0.0.1:2");
  config = ReadConfig(
      {.json =
           R"({"name":"n3","listen":"127.0.0.1:6379","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",)" +
           settings + "}"},
      NoVariable);
  CHECK(config.seed == 0x8c1f30d27a5be964);
  CHECK(config.settings.classes[0].deadline == std::chrono::seconds(1));
  CHECK(config.settings.dial_timeout == std::chrono::milliseconds(250));
  CHECK(config.settings.warm_after == std::chrono::seconds(24));
  CHECK(config.settings.zones == std::vector<std::string>{"a", "b"});
  CHECK(config.sockets == 1024);
  const std::string ends = R"("listen":"127.0.0.1:1","discovery":"127.0.0.1:2",)";
  const struct {
    std::string text, fault;
  } bad[] = {
      {"nonsense", "not a JSON object"},
      {"{" + settings + "}", "listen"},
      {R"({"listen":"nowhere","discovery":"127.0.0.1:2",)" + settings + "}", "listen"},
      {R"({"listen":"127.0.0.1:1","discovery":7,)" + settings + "}", "discovery"},
      {"{" + ends + R"("seed":"xyz",)" + settings + "}", "seed"},
      {"{" + ends + R"("limits":{"sockets":3},)" + settings + "}", "limits.sockets"},
      {"{" + ends + R"("settings":7})", "settings"},
      {"{" + ends + R"("settings":{}})", "classes"},
      {"{" + ends + R"("settings":{"rules":{"warmAfter":"soon"}}})", "settings.rules.warmAfter"},
      {"{" + ends + R"("settings":{"classes":[{"deadline":"x"}]}})", "settings.classes.0.deadline"},
      {"{" + ends + R"("known":{"index":1,"endpoints":[{"name":3}]},)" + settings + "}", "known.name"},
  };
  for (const auto& one : bad) {
    CAPTURE(one.text);
    CHECK_THROWS_WITH_AS(ReadConfig({.json = one.text}, NoVariable), doctest::Contains(one.fault.c_str()),
                         ConfigError);
  }
}

}  // namespace
}  // namespace peatbend::net
