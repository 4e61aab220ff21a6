// The watch on discovery, against a scripted one: what counts as a sign of life, lists in any layout and in
// any pieces, and what is asked for after a break.
#include <random>
#include <string>
#include <vector>

#include "discovery/list_splitter.h"
#include "net/watch_stage.h"

namespace peatbend::net::test {
namespace {

using Found = ListSplitter::Found;

TEST_CASE("watch: silence is a failure, wherever it falls") {
  for (const std::string said : {"", "HTTP/1.1 200 OK\r\nTransfer-", kWatchHead,
                                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n{\"ind"}) {
    CAPTURE(said);
    Watching watch(150);
    watch.Answer(said);
    watch.Until([&] { return !watch.news.empty(); });
    CHECK(watch.Failed());
    CHECK(watch.discovery_watch->index() == 7);
  }
  Watching after_list(150);
  after_list.Answer(kWatchHead + Piece(List(9, true, {"a"}) + "\n") + Piece("\n"));
  after_list.Until([&] { return after_list.news.size() == 2; });
  CHECK(after_list.news == std::vector<Scope>{Scope::kFull, Scope::kFailed});
}

TEST_CASE("watch: silence is a failure before the connection is up") {
  // A listening socket whose queue is full takes no further connection, and says nothing.
  int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in at = Loopback(0);
  socklen_t size = sizeof at;
  REQUIRE(bind(socket, reinterpret_cast<sockaddr*>(&at), size) == 0);
  REQUIRE(listen(socket, 0) == 0);
  getsockname(socket, reinterpret_cast<sockaddr*>(&at), &size);
  Watching watch(150);
  std::list<End> queue;
  for (int i = 0; i < 4; ++i) queue.emplace_back(watch.base.get(), -1).Connect(ntohs(at.sin_port));
  watch.Open(ntohs(at.sin_port));
  watch.Until([&] { return !watch.news.empty(); });
  CHECK(watch.Failed());
  close(socket);
}

TEST_CASE("watch: bytes that never make a list do not keep it") {
  const struct {
    std::string before, again;
  } drips[] = {{"HTTP/1.1 200 OK\r\nA: ", "a"},
               {"", "HTTP/1.1 100 Continue\r\n\r\n"},
               {kWatchHead, Piece(" ")},
               {kWatchHead + Piece("{"), Piece(" ")},
               {kWatchHead + Piece("{\"index\":\""), Piece("\n")},
               {std::string(kWatchHead) + "1;", "x"}};
  for (const auto& drip : drips) {
    CAPTURE(drip.before);
    Watching watch(150);
    watch.Drip(watch.Answer(drip.before), {drip.again}, 20);
    watch.Until([&] { return !watch.news.empty(); });
    CHECK(watch.Failed());
  }
}

TEST_CASE("watch: a large list that keeps coming is waited for, but not for ever") {
  std::string list = List(9, true, std::vector<std::string>(1600, "a"), 2) + "\n";
  REQUIRE(list.size() > 8 * 24 * 1024);
  std::vector<std::string> pieces;
  for (std::size_t from = 0; from < list.size(); from += list.size() / 8 + 1)
    pieces.push_back(Piece(list.substr(from, list.size() / 8 + 1)));
  pieces.push_back(Piece("\n"));  // and is done with once it is whole
  Watching watch(1600);           // 1.68 s for the list: more than a silence, less than a quarter more
  watch.Drip(watch.Answer(kWatchHead), pieces, 240);
  watch.Until([&] { return watch.drips > 16 || watch.news.size() > 1; });
  CHECK(watch.news == std::vector<Scope>{Scope::kFull});

  Watching endless(100, 7, 65536);
  endless.Drip(endless.Answer(kWatchHead), {Piece("{"), Piece(std::string(20000, ' '))}, 20);
  endless.Until([&] { return !endless.news.empty(); });
  CHECK(endless.Failed());
}

// Guards against a list that is slow each time and so never comes: each call that ends so gives the next one
// longer.
TEST_CASE("watch: a list that takes over two silences comes at last, by a later call") {
  constexpr int kSilenceMs = 300, kPieces = 9, kApartMs = 75;
  constexpr std::size_t kCalls = 4;
  const std::string list = List(8, true, std::vector<std::string>(1000, "a"));
  std::vector<std::string> pieces;
  for (std::size_t from = 0; from < list.size(); from += list.size() / kPieces + 1)
    pieces.push_back(Piece(list.substr(from, list.size() / kPieces + 1)));
  pieces.push_back(Piece("\n"));
  Watching watch(kSilenceMs);
  for (std::size_t call = 1; call <= kCalls; ++call) {
    watch.drips = 0;
    watch.Drip(watch.Answer(kWatchHead, call), pieces, kApartMs);
    watch.Until([&] { return watch.news.size() == call; });
    if (watch.news.back() == Scope::kFull) break;
    REQUIRE(watch.news.back() == Scope::kFailed);
    watch.discovery_watch->Watch();
  }
  CHECK(watch.news.size() > 1);  // the first call was given up
  CHECK(watch.news.back() == Scope::kFull);
}

TEST_CASE("watch: heartbeats keep it, and say once that it stands") {
  Watching watch(300);
  watch.Drip(watch.Answer(kWatchHead), {Piece("\r\n")}, 50);
  watch.Until([&] { return watch.drips > 20; });
  CHECK(watch.news == std::vector<Scope>{Scope::kDelta});
  CHECK(watch.told == std::vector<std::size_t>{0});
  CHECK(watch.counters.server_list_changes == 0);

  Watching anew(20000, 0);  // has asked for the whole list: a heartbeat is not that
  anew.Answer(kWatchHead + Piece("\n") + Piece("\n") + Piece(List(3, true, {"a"})));
  anew.Until([&] { return !anew.news.empty(); });
  CHECK(anew.news == std::vector<Scope>{Scope::kFull});
}

TEST_CASE("watch: indented lists, each taken as soon as it is whole") {
  Watching watch;
  watch.Answer(kWatchHead + Piece(List(8, true, {"a", "b"}, 2)));  // no end of line
  watch.Until([&] { return watch.news.size() == 1; });
  CHECK(watch.Names() == "a b ");
  End& end = watch.discovery.ends.back();
  std::string next =
      "\r\n" + List(9, false, {"c"}, 4) + "\r\n \t\r\n" + Gone(10, "a") + List(11, false, {"d"}, 1);
  for (char c : next) end.Say(Piece(std::string(1, c)));
  watch.Until([&] { return watch.discovery_watch->index() == 11; });
  CHECK(watch.Names() == "b c d ");
  CHECK(watch.counters.server_list_changes == 4);

  Watching plain;
  std::string list = List(12, true, {"e"}, 2);
  plain.Answer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
  plain.Until([&] { return plain.news.size() == 2; });
  CHECK(plain.news == std::vector<Scope>{Scope::kFull, Scope::kFailed});
  CHECK(plain.discovery_watch->index() == 12);

  Watching full(20000, 7, 4);  // the bound is the list's: what stands about it does not count
  list.insert(1, 4096 - list.size(), ' ');
  full.Answer("HTTP/1.1 200 OK\r\nContent-Length: 4100\r\n\r\n\r\n" + list + "\r\n");
  full.Until([&] { return full.counters.watch_failures == 1; });
  CHECK(full.news == std::vector<Scope>{Scope::kDelta, Scope::kFull, Scope::kFailed});
}

TEST_CASE("watch: after a break it asks from the last whole list on") {
  Watching watch;
  watch.Answer(kWatchHead +
               Piece(List(8, true, {"a", "b"}, 2) + "\n" + List(9, false, {"c"}, 2).substr(0, 90)));
  watch.Until([&] { return watch.news.size() == 1; });
  watch.discovery.ends.back().Hang();
  watch.Until([&] { return watch.news.size() == 2; });
  CHECK(watch.news.back() == Scope::kFailed);
  watch.discovery_watch->Watch();  // nothing of the half list is left
  watch.Answer(kWatchHead + Piece(Gone(10, "a")) + Piece(List(10, false, {"c"}, 2)), 2);
  CHECK(watch.discovery.ends.back().got.starts_with("GET /api/targets?watch=1&from=8 "));
  watch.Until([&] { return watch.news.size() == 4; });
  CHECK(watch.Names() == "b c ");
  watch.discovery_watch->Watch();
  watch.Answer(kWatchHead + Piece(List(3, true, {"x"}, 2)), 3);  // discovery began anew
  CHECK(watch.discovery.ends.back().got.find("from=10 ") != std::string::npos);
  watch.Until([&] { return watch.news.size() == 5; });
  CHECK(watch.news.back() == Scope::kFull);
  CHECK(watch.Names() == "x ");
  CHECK(watch.discovery_watch->index() == 3);
}

TEST_CASE("watch: a list that cannot be read, or is too large, ends it") {
  const struct {
    std::string text;
    int index = 7;  // held then
  } bad[] = {{"x"},
             {"[]"},
             {"}"},
             {List(8, true, {"a"}) + "}", 8},
             {"{]}"},
             {"{\"a\":[}"},
             {"{" + std::string(5000, ' ') + "}"}};
  for (const auto& [text, index] : bad) {
    CAPTURE(text);
    Watching watch(20000, 7, 4);
    watch.Answer(kWatchHead + Piece(text));
    watch.Until([&] { return watch.counters.watch_failures == 1; });
    CHECK(watch.news.back() == Scope::kFailed);
    CHECK(watch.discovery_watch->index() == index);
  }
  Watching many(20000, 7, 4);  // the bound is one list's: there may be many in a piece
  std::string lists;
  for (int i = 0; i < 70; ++i) lists += List(8 + i, false, {"a"}) + "\n";
  REQUIRE(lists.size() > 8 * 1024);
  many.Answer(kWatchHead + Piece(lists));
  many.Until([&] { return many.news.size() == 70; });
  CHECK(many.discovery_watch->index() == 77);
}

// What is found in a stream that comes in these pieces: a letter each, and the lists.
std::string Finds(const std::vector<std::string>& pieces, std::size_t most = 1 << 20) {
  ListSplitter frames(most);
  std::string found;
  for (const std::string& piece : pieces) {
    std::string_view text = piece;
    while (!text.empty()) {
      Found next = frames.Next(text);
      if (next == Found::kHeartbeat) found += "h";
      if (next == Found::kList) found += "<" + frames.TakeList() + ">";
      if (next == Found::kBad) return found + "!" + frames.error();
    }
  }
  return found;
}

TEST_CASE("list frames: where lists begin and end") {
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
      {"{}}", "<{}>!a closing brace too many"},
      {"\n[{}]", "h!text outside of a list"},
      {"{},{}", "<{}>!text outside of a list"},
      {"{", ""},
  };
  for (const auto& one : cases) {
    CAPTURE(one.text);
    CHECK(Finds({one.text}) == one.found);
    std::vector<std::string> bytes;
    for (char c : one.text) bytes.emplace_back(1, c);
    CHECK(Finds(bytes) == one.found);
  }
  std::string most = "{" + std::string(1022, ' ') + "}";
  CHECK(Finds({most, most}, 1024) == "<" + most + "><" + most + ">");
  CHECK(Finds({"\n{ ", most}, 1024) == "h!a list over 1 KiB (discovery.list_kb)");
}

TEST_CASE("list frames: any pieces, the same lists") {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    const char* const between[] = {"", "\n", "\r\n", "\n\n", " \t\r\n", "\r\n\r\n ", "\n \n"};
    std::string stream, lists;
    for (int i = 0; i < 12; ++i) {
      std::vector<std::string> names;
      for (unsigned n = random() % 4; n > 0; --n)
        names.push_back(n % 2 == 0 ? "a}{\\\\" : "b\\\"{\\n\\u007b");
      std::string list = List(i, i % 3 == 0, names, static_cast<int>(random() % 5) - 1);
      lists += "<" + list + ">";
      stream += between[random() % std::size(between)] + list;
    }
    std::string whole = Finds({stream}), only_lists = whole;
    std::erase(only_lists, 'h');
    std::erase(lists, 'h');
    CHECK(only_lists == lists);
    std::vector<std::string> pieces;
    for (std::size_t from = 0, size; from < stream.size(); from += size) {
      size = 1 + random() % (seed % 2 == 0 ? 9 : 300);
      pieces.push_back(stream.substr(from, size));
    }
    CHECK(Finds(pieces) == whole);
  }
}

// A reader that looks at what it has again with each piece would take hours over the first.
TEST_CASE("list frames: a list of 5,000 entries, byte by byte and in pieces") {
  std::vector<std::string> names;
  for (int i = 0; i < 5000; ++i) names.push_back("s-" + std::to_string(i));
  std::string list = List(9, true, names, 4);
  REQUIRE(list.size() > 800000);
  for (std::size_t size : {std::size_t{1}, std::size_t{1024}}) {
    std::vector<std::string> pieces;
    for (std::size_t from = 0; from < list.size(); from += size) pieces.push_back(list.substr(from, size));
    CHECK(Finds(pieces, 4 << 20) == "<" + list + ">");
  }
}

}  // namespace
}  // namespace peatbend::net::test
