// A keyed write with a large value fails once at the origin, which may have run it, and is sent again. The origin is a
// slow peer for the repeat: its last byte comes after the window for repeats.
#include "standin/standin.h"

using namespace review;

namespace {

constexpr int kMemoryMb = 192, kSockets = 1024;
constexpr int kRequests = 5;
constexpr std::size_t kValue = 2 * 1024 * 1024;
constexpr double kTimeMs = 2500;             // the class's deadline
constexpr double kWindowMs = 1500 + 50;      // and 50 ms on sockets
constexpr double kWorkMs = 1100;             // of the first attempt, which then fails
constexpr double kSlowBytesAMs = 2.5 * 1024;  // taken by a slow peer: 2 MiB in 0.82 s

struct Applied {
  int times = 0;
  double first_ms = 0;  // the first attempt's last byte
};
std::mutex g_lock;
std::map<std::string, Applied> g_applied;  // by idempotency key
std::map<std::string, int> g_attempts;
int g_twice = 0;

// Reads a body at the given speed, in pieces of 5 ms; 0: as it comes.
bool ReadBody(Reader& from, std::size_t length, double bytes_a_ms) {
  std::string piece;
  double begun = NowMs();
  for (std::size_t taken = 0; taken < length;) {
    std::size_t left = length - taken;
    std::size_t take = bytes_a_ms > 0 ? std::min(left, static_cast<std::size_t>(bytes_a_ms * 5)) : left;
    if (!from.Bytes(take, piece)) return false;
    taken += take;
    if (bytes_a_ms > 0) SleepMs(begun + static_cast<double>(taken) / bytes_a_ms - NowMs());
  }
  return true;
}

void Origin(int socket) {
  Reader from(socket);
  HttpRequest request;
  while (ReadHead(from, request)) {
    double first_byte = NowMs();
    std::string key = Fact(request.facts, "k");
    int attempt = 0;
    {
      std::lock_guard hold(g_lock);
      attempt = ++g_attempts[key];
    }
    bool repeat = request.write && attempt > 1;
    if (!ReadBody(from, request.length, repeat && Troubled() ? kSlowBytesAMs : 0)) {
      Note("origin: %s attempt %d broke off before its last byte", request.id.c_str(), attempt);
      return;
    }
    double whole = NowMs();
    if (!request.write) {
      if (!SendAll(socket, HttpAnswer(200, "v"))) return;
      continue;
    }
    bool drops = false;
    {
      std::lock_guard hold(g_lock);
      Applied& applied = g_applied[key];
      drops = applied.times > 0 && whole - applied.first_ms <= kWindowMs;
      if (!drops && applied.times++ > 0) ++g_twice;
      if (applied.times == 1 && !drops) applied.first_ms = whole;
      Note("origin: %s k=%s attempt %d: first byte %.0f ms, last byte %.0f ms (%.0f ms after that of the first): %s",
           request.id.c_str(), key.c_str(), attempt, first_byte, whole, whole - applied.first_ms,
           drops ? "dropped as a repeat" : applied.times > 1 ? "APPLIED AGAIN" : "applied");
    }
    bool fails = attempt == 1;
    if (fails) SleepMs(kWorkMs);
    if (!SendAll(socket, fails ? HttpAnswer(500, "") : HttpAnswer(200, "receipt of " + request.id))) return;
  }
}

}  // namespace

int main(int, char** arguments) {
  Begin(arguments[1]);
  Discovery discovery;
  int origin = 0, listener = ListenAnywhere(origin, 64 * 1024);
  Serve(listener, Origin);
  discovery.Add("origin", origin, "athens", "origin");
  for (int i = 0; i < 10; ++i) discovery.Add("s-" + std::to_string(i), NewCache(Miss), "athens", "full");
  int port = StartRouter(discovery, kMemoryMb, kSockets);
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    int socket = Connect(port);
    std::string id = RandomHex(), answer = "none";
    double begun = NowMs();
    SendAll(socket, Command({"OBJ.SET", RandomHex(), id, "c=campaign-send,t=attiki-group,d=2500,k=" + RandomHex(),
                             std::string(kValue, 'v')}));
    Reader from(socket, NowMs() + kTimeMs + 700);
    ReadAnswer(from, answer);
    served += answer[0] == '$' ? 1 : 0;
    Note("client: %s sent from %.0f ms on, answered at %.0f ms: %s", id.c_str(), begun, NowMs(), answer.c_str());
    close(socket);
  }
  SleepMs(500);
  std::size_t repeated = 0;
  for (const auto& [key, attempts] : g_attempts) repeated += attempts > 1 ? 1 : 0;
  Note("%zu writes, %zu of them sent again, %d served, %d applied twice", g_attempts.size(), repeated, served, g_twice);
  if (!RouterRuns() || g_attempts.size() != kRequests) {
    Note("the case could not run");
    Finish(2);
  }
  Note(g_twice > 0 ? "BROKEN: a repeat came whole after the window for repeats, and was applied again" : "HELD");
  Finish(g_twice > 0 ? 1 : 0);
}
