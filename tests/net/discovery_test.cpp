// DiscoveryWatch against a scripted discovery server: timeouts, lists in any layout and split at any point,
// and resuming after a failure.
#include <random>
#include <string>
#include <vector>

#include "discovery/list_splitter.h"
#include "net/watch_fixture.h"

namespace peatbend::net::test {
namespace {

using SplitResult = ListSplitter::Result;

TEST_CASE("watch: silence at any point fails the watch") {
  for (const std::string response : {"", "HTTP/1.1 200 OK\r\nTransfer-", kWatchHead,
                                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n{\"ind"}) {
    CAPTURE(response);
    WatchFixture watch(150);
    watch.Answer(response);
    watch.Until([&] { return !watch.scopes.empty(); });
    CHECK(watch.Failed());
    CHECK(watch.discovery_watch->index() == 7);
  }
  WatchFixture after_list(150);
  after_list.Answer(kWatchHead + HttpChunk(ListJson(9, true, {"a"}) + "\n") + HttpChunk("\n"));
  after_list.Until([&] { return after_list.scopes.size() == 2; });
  CHECK(after_list.scopes == std::vector<Scope>{Scope::kFull, Scope::kFailed});
}

TEST_CASE("watch: silence before the connection is established fails the watch") {
  // A listening socket with a full backlog accepts no further connection.
  int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in at = Loopback(0);
  socklen_t size = sizeof at;
  REQUIRE(bind(socket, reinterpret_cast<sockaddr*>(&at), size) == 0);
  REQUIRE(listen(socket, 0) == 0);
  getsockname(socket, reinterpret_cast<sockaddr*>(&at), &size);
  WatchFixture watch(150);
  std::list<End> queue;
  for (int i = 0; i < 4; ++i) queue.emplace_back(watch.base.get(), -1).Connect(ntohs(at.sin_port));
  watch.Open(ntohs(at.sin_port));
  watch.Until([&] { return !watch.scopes.empty(); });
  CHECK(watch.Failed());
  close(socket);
}

TEST_CASE("watch: bytes that never complete a list do not keep it alive") {
  const struct {
    std::string first, repeated;
  } sequences[] = {{"HTTP/1.1 200 OK\r\nA: ", "a"},
                   {"", "HTTP/1.1 100 Continue\r\n\r\n"},
                   {kWatchHead, HttpChunk(" ")},
                   {kWatchHead + HttpChunk("{"), HttpChunk(" ")},
                   {kWatchHead + HttpChunk("{\"index\":\""), HttpChunk("\n")},
                   {std::string(kWatchHead) + "1;", "x"}};
  for (const auto& sequence : sequences) {
    CAPTURE(sequence.first);
    WatchFixture watch(150);
    watch.SendPeriodically(watch.Answer(sequence.first), {sequence.repeated}, 20);
    watch.Until([&] { return !watch.scopes.empty(); });
    CHECK(watch.Failed());
  }
}

TEST_CASE("watch: a large list in progress is awaited, up to a limit") {
  std::string list = ListJson(9, true, std::vector<std::string>(1600, "a"), 2) + "\n";
  REQUIRE(list.size() > 8 * 24 * 1024);
  std::vector<std::string> pieces;
  for (std::size_t from = 0; from < list.size(); from += list.size() / 8 + 1)
    pieces.push_back(HttpChunk(list.substr(from, list.size() / 8 + 1)));
  pieces.push_back(HttpChunk("\n"));  // then heartbeats: the time limit ends with the list
  WatchFixture watch(1600);  // the list takes 1.68 s: longer than the silence timeout, less than 1.25 times
  watch.SendPeriodically(watch.Answer(kWatchHead), pieces, 240);
  watch.Until([&] { return watch.parts_sent > 16 || watch.scopes.size() > 1; });
  CHECK(watch.scopes == std::vector<Scope>{Scope::kFull});

  WatchFixture endless(100, 7, 65536);
  endless.SendPeriodically(endless.Answer(kWatchHead), {HttpChunk("{"), HttpChunk(std::string(20000, ' '))},
                           20);
  endless.Until([&] { return !endless.scopes.empty(); });
  CHECK(endless.Failed());
}

// Guards against a list that is slow each time and so never completes: each unfinished list doubles the time
// limit of the next watch.
TEST_CASE("watch: a list that takes over two silence timeouts completes in a later watch") {
  constexpr int kSilenceMs = 300, kPieces = 9, kApartMs = 75;
  constexpr std::size_t kCalls = 4;
  const std::string list = ListJson(8, true, std::vector<std::string>(1000, "a"));
  std::vector<std::string> pieces;
  for (std::size_t from = 0; from < list.size(); from += list.size() / kPieces + 1)
    pieces.push_back(HttpChunk(list.substr(from, list.size() / kPieces + 1)));
  pieces.push_back(HttpChunk("\n"));
  WatchFixture watch(kSilenceMs);
  for (std::size_t call = 1; call <= kCalls; ++call) {
    watch.parts_sent = 0;
    watch.SendPeriodically(watch.Answer(kWatchHead, call), pieces, kApartMs);
    watch.Until([&] { return watch.scopes.size() == call; });
    if (watch.scopes.back() == Scope::kFull) break;
    REQUIRE(watch.scopes.back() == Scope::kFailed);
    watch.discovery_watch->StartWatch();
  }
  CHECK(watch.scopes.size() > 1);  // the first watch failed
  CHECK(watch.scopes.back() == Scope::kFull);
}

TEST_CASE("watch: heartbeats keep it alive, and the first reports that it is established") {
  WatchFixture watch(300);
  watch.SendPeriodically(watch.Answer(kWatchHead), {HttpChunk("\r\n")}, 50);
  watch.Until([&] { return watch.parts_sent > 20; });
  CHECK(watch.scopes == std::vector<Scope>{Scope::kDelta});
  CHECK(watch.entry_counts == std::vector<std::size_t>{0});
  CHECK(watch.counters.server_list_changes == 0);

  WatchFixture full_list(20000, 0);  // requested the full list, which a heartbeat does not replace
  full_list.Answer(kWatchHead + HttpChunk("\n") + HttpChunk("\n") + HttpChunk(ListJson(3, true, {"a"})));
  full_list.Until([&] { return !full_list.scopes.empty(); });
  CHECK(full_list.scopes == std::vector<Scope>{Scope::kFull});
}

TEST_CASE("watch: indented lists are applied as soon as they are complete") {
  WatchFixture watch;
  watch.Answer(kWatchHead + HttpChunk(ListJson(8, true, {"a", "b"}, 2)));  // without a line end
  watch.Until([&] { return watch.scopes.size() == 1; });
  CHECK(watch.Names() == "a b ");
  End& end = watch.discovery.ends.back();
  std::string next = "\r\n" + ListJson(9, false, {"c"}, 4) + "\r\n \t\r\n" + DeletionJson(10, "a") +
                     ListJson(11, false, {"d"}, 1);
  for (char c : next) end.Say(HttpChunk(std::string(1, c)));
  watch.Until([&] { return watch.discovery_watch->index() == 11; });
  CHECK(watch.Names() == "b c d ");
  CHECK(watch.counters.server_list_changes == 4);

  WatchFixture plain;
  std::string list = ListJson(12, true, {"e"}, 2);
  plain.Answer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
  plain.Until([&] { return plain.scopes.size() == 2; });
  CHECK(plain.scopes == std::vector<Scope>{Scope::kFull, Scope::kFailed});
  CHECK(plain.discovery_watch->index() == 12);

  WatchFixture full(20000, 7, 4);  // the limit applies to the list without the text around it
  list.insert(1, 4096 - list.size(), ' ');
  full.Answer("HTTP/1.1 200 OK\r\nContent-Length: 4100\r\n\r\n\r\n" + list + "\r\n");
  full.Until([&] { return full.counters.watch_failures == 1; });
  CHECK(full.scopes == std::vector<Scope>{Scope::kDelta, Scope::kFull, Scope::kFailed});
}

TEST_CASE("watch: a new watch resumes from the last complete list") {
  WatchFixture watch;
  watch.Answer(kWatchHead + HttpChunk(ListJson(8, true, {"a", "b"}, 2) + "\n" +
                                      ListJson(9, false, {"c"}, 2).substr(0, 90)));
  watch.Until([&] { return watch.scopes.size() == 1; });
  watch.discovery.ends.back().Hang();
  watch.Until([&] { return watch.scopes.size() == 2; });
  CHECK(watch.scopes.back() == Scope::kFailed);
  watch.discovery_watch->StartWatch();  // the incomplete list is discarded
  watch.Answer(kWatchHead + HttpChunk(DeletionJson(10, "a")) + HttpChunk(ListJson(10, false, {"c"}, 2)), 2);
  CHECK(watch.discovery.ends.back().got.starts_with("GET /api/targets?watch=1&from=8 "));
  watch.Until([&] { return watch.scopes.size() == 4; });
  CHECK(watch.Names() == "b c ");
  watch.discovery_watch->StartWatch();
  watch.Answer(kWatchHead + HttpChunk(ListJson(3, true, {"x"}, 2)), 3);  // discovery lost its state
  CHECK(watch.discovery.ends.back().got.find("from=10 ") != std::string::npos);
  watch.Until([&] { return watch.scopes.size() == 5; });
  CHECK(watch.scopes.back() == Scope::kFull);
  CHECK(watch.Names() == "x ");
  CHECK(watch.discovery_watch->index() == 3);
}

TEST_CASE("watch: a malformed or oversized list ends it") {
  const struct {
    std::string text;
    int index = 7;  // version held afterwards
  } malformed[] = {{"x"},
                   {"[]"},
                   {"}"},
                   {ListJson(8, true, {"a"}) + "}", 8},
                   {"{]}"},
                   {"{\"a\":[}"},
                   {"{" + std::string(5000, ' ') + "}"}};
  for (const auto& [text, index] : malformed) {
    CAPTURE(text);
    WatchFixture watch(20000, 7, 4);
    watch.Answer(kWatchHead + HttpChunk(text));
    watch.Until([&] { return watch.counters.watch_failures == 1; });
    CHECK(watch.scopes.back() == Scope::kFailed);
    CHECK(watch.discovery_watch->index() == index);
  }
  WatchFixture many(20000, 7, 4);  // the limit applies to each list; one read may contain many
  std::string lists;
  for (int i = 0; i < 70; ++i) lists += ListJson(8 + i, false, {"a"}) + "\n";
  REQUIRE(lists.size() > 8 * 1024);
  many.Answer(kWatchHead + HttpChunk(lists));
  many.Until([&] { return many.scopes.size() == 70; });
  CHECK(many.discovery_watch->index() == 77);
}

// Splits a stream given in `pieces`: `h` for each heartbeat, `<...>` for each list, `!` before an error.
std::string SplitAll(const std::vector<std::string>& pieces, std::size_t max_bytes = 1 << 20) {
  ListSplitter splitter(max_bytes);
  std::string found;
  for (const std::string& piece : pieces) {
    std::string_view text = piece;
    while (!text.empty()) {
      SplitResult next = splitter.Next(text);
      if (next == SplitResult::kHeartbeat) found += "h";
      if (next == SplitResult::kList) found += "<" + splitter.TakeList() + ">";
      if (next == SplitResult::kMalformed) return found + "!" + splitter.error();
    }
  }
  return found;
}

TEST_CASE("list splitter: where lists begin and end") {
  const struct {
    std::string text, found;
  } cases[] = {
      {"\n\r\n \n\t\r\n", "hhhh"},
      {"{}\n\n{}\r\n{}", "<{}>h<{}><{}>"},
      {"  {} \t\r\n{}{}", "<{}><{}><{}>"},
      {"{\n\n \"a\": {\n}\r\n\n}\n", "<{\n\n \"a\": {\n}\r\n\n}>"},
      {R"({"}{":"\"}","b":"\\"}{"n":"\n}\u007d\\\"{"})",
       R"(<{"}{":"\"}","b":"\\"}><{"n":"\n}\u007d\\\"{"}>)"},
      {"{\"a\":\"x\n\ny}\"}", "<{\"a\":\"x\n\ny}\"}>"},
      {"{}}", "<{}>!unbalanced closing brace"},
      {"\n[{}]", "h!unexpected text outside a list"},
      {"{},{}", "<{}>!unexpected text outside a list"},
      {"{", ""},
  };
  for (const auto& one : cases) {
    CAPTURE(one.text);
    CHECK(SplitAll({one.text}) == one.found);
    std::vector<std::string> bytes;
    for (char c : one.text) bytes.emplace_back(1, c);
    CHECK(SplitAll(bytes) == one.found);
  }
  std::string largest = "{" + std::string(1022, ' ') + "}";
  CHECK(SplitAll({largest, largest}, 1024) == "<" + largest + "><" + largest + ">");
  CHECK(SplitAll({"\n{ ", largest}, 1024) == "h!list is larger than 1 KiB (discovery.list_kb)");
}

TEST_CASE("list splitter: the result does not depend on the pieces") {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    const char* const between[] = {"", "\n", "\r\n", "\n\n", " \t\r\n", "\r\n\r\n ", "\n \n"};
    std::string stream, lists;
    for (int i = 0; i < 12; ++i) {
      std::vector<std::string> names;
      for (unsigned n = random() % 4; n > 0; --n)
        names.push_back(n % 2 == 0 ? "a}{\\\\" : "b\\\"{\\n\\u007b");
      std::string list = ListJson(i, i % 3 == 0, names, static_cast<int>(random() % 5) - 1);
      lists += "<" + list + ">";
      stream += between[random() % std::size(between)] + list;
    }
    std::string whole = SplitAll({stream}), only_lists = whole;
    std::erase(only_lists, 'h');
    std::erase(lists, 'h');
    CHECK(only_lists == lists);
    std::vector<std::string> pieces;
    for (std::size_t from = 0, size; from < stream.size(); from += size) {
      size = 1 + random() % (seed % 2 == 0 ? 9 : 300);
      pieces.push_back(stream.substr(from, size));
    }
    CHECK(SplitAll(pieces) == whole);
  }
}

// Guards against quadratic time: rescanning the buffer with each byte would take hours.
TEST_CASE("list splitter: a list of 5,000 entries, byte by byte and in pieces") {
  std::vector<std::string> names;
  for (int i = 0; i < 5000; ++i) names.push_back("s-" + std::to_string(i));
  std::string list = ListJson(9, true, names, 4);
  REQUIRE(list.size() > 800000);
  for (std::size_t size : {std::size_t{1}, std::size_t{1024}}) {
    std::vector<std::string> pieces;
    for (std::size_t from = 0; from < list.size(); from += size) pieces.push_back(list.substr(from, size));
    CHECK(SplitAll(pieces, 4 << 20) == "<" + list + ">");
  }
}

}  // namespace
}  // namespace peatbend::net::test
