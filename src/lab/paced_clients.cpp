#include "lab/paced_clients.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

#include "lab/dial.h"

namespace peatbend::lab {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kLines = 4096;  // of all routers together
constexpr std::chrono::milliseconds kTurn = 1ms, kAfter = 3s;

std::chrono::nanoseconds Lasting(double seconds) {
  return std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9));
}

}  // namespace

PacedClients::PacedClients(std::vector<std::string> routers, int clients, std::uint64_t seed, bool in_turn)
    : base_(net::NewEventBase()),
      routers_(std::move(routers)),
      idle_(routers_.size()),
      clients_(clients),
      in_turn_(in_turn),
      random_(seed, 0x70),
      turn_(base_.get(), [this] { Turn(); }) {}

PacedClients::Figures PacedClients::Run(double per_second, double seconds) {
  figures_ = {};
  times_ = LatencyHistogram();
  again_ = {};
  mean_ = 1 / per_second;
  next_ = Clock::now();
  until_ = next_ + Lasting(seconds);
  turn_.Set({});
  event_base_dispatch(base_.get());
  figures_.times = times_.Read();
  return figures_;
}

void PacedClients::Turn() {
  auto now = Clock::now();
  bool done = now >= until_ && next_ >= until_ && out_ == 0 && again_.empty();
  if (done || now > until_ + kAfter) return void(event_base_loopbreak(base_.get()));
  for (; next_ <= now && next_ < until_; next_ += Lasting(random_.Exponential(mean_))) {
    auto client = in_turn_ ? ids_ % static_cast<std::uint64_t>(clients_)
                           : random_.Below(static_cast<std::uint32_t>(clients_));
    auto router = random_.Below(static_cast<std::uint32_t>(routers_.size()));
    ++figures_.asked;
    Send({router, static_cast<int>(client), next_});
  }
  while (!again_.empty() && again_.top().due <= now) {
    Ask ask = again_.top();
    again_.pop();
    ++figures_.came_back;
    Send(ask);
  }
  turn_.Set(kTurn);
}

PacedClients::Line* PacedClients::Open(std::size_t router) {
  if (lines_.size() >= kLines) return nullptr;
  Line& line = lines_.emplace_back(Line{this, {}, {}, {}, Dial(base_.get(), routers_[router])});
  if (!line.socket) return lines_.pop_back(), nullptr;
  bufferevent_setcb(
      line.socket.get(),
      [](bufferevent*, void* self) { static_cast<Line*>(self)->home->Read(*static_cast<Line*>(self)); },
      nullptr,
      [](bufferevent*, short what, void* self) {
        auto* line = static_cast<Line*>(self);
        if ((what & BEV_EVENT_CONNECTED) == 0) line->home->End(*line);
      },
      &line);
  bufferevent_enable(line.socket.get(), EV_READ | EV_WRITE);
  return &line;
}

// The router closes what stands idle; else its request is lost.
void PacedClients::End(Line& line) {
  if (std::erase(idle_[line.ask.router], &line) == 0) ++figures_.wrong, --out_;
  lines_.remove_if([&](const Line& one) { return &one == &line; });
}

void PacedClients::Send(const Ask& ask) {
  auto& idle = idle_[ask.router];
  Line* line = idle.empty() ? Open(ask.router) : idle.back();
  if (line == nullptr) return void(++figures_.wrong);
  if (!idle.empty()) idle.pop_back();
  ++out_;
  line->ask = ask;
  line->key = fmt::format("{:0{}}-{:05x}", ask.client, kGroup, random_.Below(20000));
  std::string text = "*4\r\n$7\r\nOBJ.GET\r\n" + Bulk(line->key) + Bulk(fmt::format("{:016x}", ++ids_)) +
                     Bulk("c=read,t=all,d=2000");
  line->sent = Clock::now();
  bufferevent_write(line->socket.get(), text.data(), text.size());
}

void PacedClients::Read(Line& line) {
  evbuffer* in = bufferevent_get_input(line.socket.get());
  std::string_view text = net::Contents(in), busy = "-BUSY ";
  if (!text.ends_with("\r\n") || (text.starts_with('$') && text.size() < line.key.size() + 7)) return;
  --out_;
  auto now = Clock::now();
  if (text.starts_with(busy)) {
    std::int64_t ms = 0;
    std::from_chars(text.data() + busy.size(), text.data() + text.size(), ms);
    line.ask.due = now + std::chrono::milliseconds(ms);
    if (line.ask.due < until_ + kAfter) again_.push(line.ask);
  } else if (text.starts_with('$') && text.find(line.key) != std::string_view::npos) {
    ++figures_.served;
    times_.Add(std::chrono::duration<double, std::milli>(now - line.sent).count());
  } else {
    ++figures_.wrong;
  }
  evbuffer_drain(in, text.size());
  idle_[line.ask.router].push_back(&line);
}

}  // namespace peatbend::lab
