#include "router/router.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <random>
#include <stdexcept>

#include "base/listen.h"

namespace peatbend::net {
namespace {
// Descriptors that are no sockets of clients or members: standard streams, the loop's (4), the listener, the
// watch, the door for a successor and the channel to it; and the operators' address.
constexpr std::int64_t kOtherDescriptors = 13;
// What a process that follows holds before it is told how many it may hold.
constexpr std::int64_t kSuccessorDescriptors = 12;
// It accepts no client before, having no socket for a request, but for this time at most.
constexpr std::chrono::milliseconds kRoomKnownWithin{1000};
constexpr double kMegabyte = 1024.0 * 1024;
// After LEAVE: the front may not have asked PING yet, and still sends clients.
constexpr std::chrono::milliseconds kLateClients{400};
// How often the successor is told what is free for it.
constexpr std::chrono::milliseconds kTellKeepsEvery{50};
// While handing over: sockets kept beyond those held and those of waiting requests, for what comes yet on
// clients' connections that stay, such as the rest of a large value.
constexpr std::int64_t kForFlows = 4;
// Of the sockets that are free when the successor is ready, at most this part is kept for requests that wait
// for a server: the successor serves with the rest.
constexpr std::int64_t kWaitingDivisor = 2;
// Of the memory: for large values, over all transactions.
constexpr double kValuesShare = 0.3;
// For requests themselves, and answers that wait.
constexpr double kCommandsShare = 0.15;

std::int64_t Others(const Config& config) {
  std::int64_t peers = config.peers.listen.empty() ? 0 : static_cast<std::int64_t>(peers::kMaxDescriptors);
  std::int64_t folder = config.publications.folder.empty() ? 0 : 2;  // and what is written in it
  return kOtherDescriptors + peers + folder +
         (config.admin.empty() ? 0 : static_cast<std::int64_t>(kAdminDescriptors));
}

int Listening(const Config& config, std::optional<handover::Inheritance>& inherited, Log& log) {
  if (inherited) return inherited->listener.Release();
  bool taken = AddressInUse(config.listen);
  int socket = ListenOn(config.listen, static_cast<int>(config.tuning.clients.backlog), true);
  if (socket < 0) throw std::runtime_error("cannot listen on " + config.listen + ": " + std::strerror(errno));
  if (taken) log.Line("handover", "shares " + config.listen + " with a process that hands nothing on");
  return socket;
}

ServerList Known(const Config& config, const std::optional<handover::Inheritance>& inherited, Log& log) {
  if (!inherited) return config.known;
  // A version of another discovery means nothing to this one: the whole list is asked for.
  bool elsewhere = !inherited->discovery.empty() && inherited->discovery != config.discovery;
  std::int64_t index = elsewhere ? 0 : inherited->index;
  try {
    return ReadServerList({{"index", index}, {"snapshot", true}, {"endpoints", inherited->endpoints}},
                          config.settings);
  } catch (const std::invalid_argument& error) {
    log.Line("handover", std::string("the server list handed on cannot be used: ") + error.what());
    return config.known;
  }
}
}  // namespace

Router::Router(event_base* base, const Config& config, std::optional<handover::Inheritance> inherited,
               std::string door)
    : base_(base),
      running_(config),
      log_(config.name, config.tuning.log, clock_),
      predecessor_keeps_(inherited ? inherited->keeps : 0),
      predecessor_memory_(inherited ? inherited->memory : 0),
      room_known_(!inherited),
      connections_(base, running_.settings, running_.tuning.members, sockets_, memory_, clock_, log_,
                   counters_),
      decision_(
          base, running_.settings, config.seed, connections_, [this] { discovery_watch_.EnsureWatching(); },
          clock_, log_, counters_),
      discovery_watch_(base, config.discovery, running_.settings, running_.tuning.discovery,
                       Known(config, inherited, log_), log_, counters_,
                       [this](Scope scope, std::vector<ServerListEntry> entries) {
                         decision_.ServerListChanged(scope, std::move(entries));
                       }),
      successor_(base, log_,
                 {.offer = [this] { return MakeOffer(); },
                  .ready = [this] { SuccessorReady(); },
                  .lost = [this](auto clients) { SuccessorLost(std::move(clients)); },
                  .room = [this] { listener_.EndWhatRests(); }}),
      listener_(
          base, Listening(config, inherited, log_), life_,
          [this](ClientSession& session) { return HandOn(session); }, decision_, running_.settings,
          running_.tuning.clients, sockets_,
          static_cast<std::size_t>(static_cast<double>(config.memory_mb) * kMegabyte *
                                   config.tuning.memory.unread_share),
          memory_, command_memory_, clock_, log_, counters_),
      door_(std::move(door)),
      late_clients_over_(base,
                         [this] {
                           if (life_.LateClientsOver()) Moved();
                         }),
      stop_at_last_(base, [this] { StopAtLast(); }),
      tell_keeps_(base, [this] { TellKeeps(); }),
      end_(base, [this] { End(); }),
      room_late_(base, [this] { RoomKnown(); }) {
  running_.known = {};  // read once; the list moves on without it
  Share();
  if (!config.admin.empty()) admin_ = std::make_unique<AdminServer>(base, config.admin, *this, clock_, log_);
  MeetPeers();
  decision_.OnReady([this] {
    if (life_.ServerListHeld()) Moved();
  });
  std::vector<ServerListEntry> entries;
  for (const auto& [name, entry] : discovery_watch_.servers()) entries.push_back(entry);
  std::size_t known = entries.size();
  if (inherited) {
    if (inherited->away) Leave();
    predecessor_.emplace(
        base, std::move(inherited->channel),
        handover::Predecessor::Calls{
            .client = [this](handover::ClientHandle client) { Adopt(std::move(client)); },
            .keeps = [this](std::int64_t keeps, std::int64_t memory) { PredecessorKeeps(keeps, memory); }});
    listener_.Accept(accepts());
    room_late_.Set(kRoomKnownWithin);
    predecessor_->Ready();
  }
  decision_.ServerListChanged(Scope::kCached, std::move(entries));
  successor_.Open(door_);
  log_.Line("start", (predecessor_ ? "takes over " : "listening on ") + config.listen + ", " +
                         std::to_string(known) + " servers known");
}

// ---- Life cycle -----------------------------------------------------------------------------------

void Router::Moved() {
  if (std::exchange(told_, life_.name()) != life_.name()) log_.Line("life", life_.name());
  listener_.Accept(accepts());
  if (life_.state() == LifeCycle::State::kFinishing) {
    listener_.Stop([this] { End(); });
  } else if (life_.rest() != Doors::Rest::kStays) {
    listener_.EndWhatRests();
  }
}

std::string Router::Health() { return (life_.takes_clients() ? "ok " : "fail ") + std::string(life_.name()); }

std::string Router::Leave() {
  if (life_.Leave()) {
    Moved();
    late_clients_over_.Set(kLateClients);
  }
  return (life_.away() || life_.stopping() ? "ok " : "fail ") + std::string(life_.name());
}

std::string Router::Join() {
  if (life_.Join()) {
    late_clients_over_.Stop();
    Moved();
  }
  bool back = life_.state() == LifeCycle::State::kServing || life_.state() == LifeCycle::State::kStarting;
  return (back ? "ok " : "fail ") + std::string(life_.name());
}

void Router::MeetPeers() {
  if (running_.peers.listen.empty()) return;
  const Settings& settings = running_.settings;
  bool zoned = settings.zone >= 0 && settings.zone < static_cast<int>(settings.zones.size());
  peers_.emplace(
      base_, running_.peers, running_.tuning.peers,
      peers::Peers::Self{running_.name, zoned ? settings.zones[static_cast<std::size_t>(settings.zone)] : "",
                         PEATBEND_VERSION, running_.listen},
      std::random_device{}(), log_);
  if (!running_.failover.replicas.empty()) work_.emplace(base_, running_, *peers_, decision_, log_);
  if (running_.rations.table) rations_.emplace(base_, running_, *peers_, decision_, log_);
  if (!running_.publications.seats.empty()) publications_.emplace(base_, running_, *peers_, log_);
  if (publications_ && rations_)
    publications_->AgreeBooks(running_, [this](auto book) { rations_->SetBook(std::move(book)); });
  if (publications_ && !running_.subjects.empty()) {
    schemas_.emplace(base_, running_.settings, running_.subjects, *publications_, log_);
    decision_.SetPayloadCheck(&*schemas_);
  }
  if (running_.overload.on) overload_.emplace(base_, running_, *peers_, decision_, log_);
}

// ---- The process before, and the one that follows ---------------------------------------------------

// What this process and those before it may hold at most.
handover::Successor::Keeps Router::Keeps() const {
  return {Others(running_) + static_cast<std::int64_t>(sockets_.max) + predecessor_keeps_,
          static_cast<std::int64_t>(memory_.max) + predecessor_memory_};
}

std::int64_t Router::descriptors() const {
  return Others(running_) + static_cast<std::int64_t>(std::max(sockets_.max, sockets_.in_use));
}

void Router::Share() {
  sockets_.configured_max = static_cast<std::size_t>(running_.sockets);
  std::int64_t most = running_.sockets - Others(running_) - predecessor_keeps_;
  if (!door_.empty()) most -= kSuccessorDescriptors;
  bool over = life_.rest() == Doors::Rest::kGoesToSuccessor;  // then it only falls
  if (over) most = std::min({most, static_cast<std::int64_t>(sockets_.max), SocketsWhileHandingOver()});
  sockets_.max = static_cast<std::size_t>(std::max<std::int64_t>(most, 0));
  command_memory_.SetMax(
      static_cast<std::size_t>(static_cast<double>(running_.memory_mb) * kMegabyte * kCommandsShare));
  auto values = static_cast<std::int64_t>(static_cast<double>(running_.memory_mb) * kMegabyte * kValuesShare);
  values -= predecessor_memory_;
  if (over) values = std::min(values, static_cast<std::int64_t>(memory_.in_use));
  memory_.SetMax(static_cast<std::size_t>(std::max<std::int64_t>(values, 0)));
}

// A request needs one socket at a time: the connection of an attempt that has ended is closed, or stands idle
// and is closed where the next attempt needs its place.
std::int64_t Router::SocketsWhileHandingOver() const {
  std::int64_t needed = static_cast<std::int64_t>(sockets_.in_use) + kForFlows;
  std::int64_t of_both = 2 * Others(running_) + kSuccessorDescriptors + predecessor_keeps_;
  std::int64_t free = std::max<std::int64_t>(running_.sockets - of_both - needed, 0);
  auto waiting = static_cast<std::int64_t>(decision_.waiting_for_server());
  return needed + std::min(waiting, free / kWaitingDivisor);
}

void Router::TellKeeps() {
  if (life_.rest() != Doors::Rest::kGoesToSuccessor) return;
  auto before = std::pair(sockets_.max, memory_.max);
  sockets_.max = std::min(sockets_.max, static_cast<std::size_t>(SocketsWhileHandingOver()));
  memory_.SetMax(std::min(memory_.max, memory_.in_use));
  if (std::pair(sockets_.max, memory_.max) != before) successor_.TellKeeps(Keeps());
  // Free by the time that the successor is told next.
  if (decision_.waiting_for_server() == 0) connections_.CloseAllIdle();
  tell_keeps_.Set(kTellKeepsEvery);
}

void Router::PredecessorKeeps(std::int64_t keeps, std::int64_t memory) {
  // While it hands over what it may hold falls, but for what passes to it from the process before.
  std::int64_t passed = std::max<std::int64_t>(predecessor_keeps_ - keeps, 0);
  sockets_.max += static_cast<std::size_t>(passed);
  predecessor_keeps_ = keeps;
  predecessor_memory_ = memory;
  Share();
  RoomKnown();
  if (life_.rest() == Doors::Rest::kGoesToSuccessor) successor_.TellKeeps(Keeps());
  if (keeps == 0) log_.Line("handover", "the process before has gone");
}

void Router::RoomKnown() {
  room_late_.Stop();
  if (!std::exchange(room_known_, true)) listener_.Accept(accepts());
}

handover::Successor::Offer Router::MakeOffer() {
  handover::Successor::Offer offer;
  offer.listener = listener_.socket();
  offer.discovery = running_.discovery;
  offer.index = discovery_watch_.index();
  offer.keeps = Keeps();
  offer.away = life_.away();
  for (const auto& [name, entry] : discovery_watch_.servers())
    offer.endpoints.push_back(WriteServerListEntry(entry, running_.settings));
  return offer;
}

void Router::SuccessorReady() {
  log_.Line("handover", "a new process takes clients");
  if (peers_) {  // the address among peers is the other's from now on
    peers_->Leave();
    work_.reset();
    if (rations_) rations_->Hush();
    if (schemas_) schemas_->Hush();
    if (publications_) publications_->Hush();
    overload_.reset();
    peers_.reset();
  }
  bool moved = life_.SuccessorReady();
  connections_.CloseAllIdle();
  Share();
  successor_.TellKeeps(Keeps());
  tell_keeps_.Set(kTellKeepsEvery);
  moved ? Moved() : listener_.EndWhatRests();
}

void Router::SuccessorLost(std::vector<handover::ClientHandle> clients) {
  log_.Line("handover", "the new process has ended");
  bool moved = life_.SuccessorLost();
  Share();
  if (!peers_ && !life_.stopping()) MeetPeers();
  if (life_.away()) late_clients_over_.Set(kLateClients);  // it may have gone off in between
  if (moved) Moved();
  if (!clients.empty()) log_.Line("handover", std::to_string(clients.size()) + " clients taken back");
  for (handover::ClientHandle& client : clients) Adopt(std::move(client));
}

void Router::Adopt(handover::ClientHandle client) {
  listener_.Adopt(client.socket.Release(), client.begun, client.begun_ago, client.asked);
}

bool Router::HandOn(ClientSession& session) {
  if (!successor_.takes() || !session.may_move()) return false;
  handover::ClientHandle client;
  client.asked = session.asked();
  if (session.half_sent()) {
    client.begun_ago = std::chrono::duration_cast<Milliseconds>(clock_.Now() - session.begun());
  }
  client.socket = handover::FileHandle(session.Release(client.begun));
  if (sockets_.max > 0) --sockets_.max;  // its descriptor is the other's from now on
  successor_.Send(std::move(client), Keeps());
  return true;
}

// ---- A reload --------------------------------------------------------------------------------------

void Router::Reload(const std::function<Config()>& load) {
  if (life_.stopping()) return;
  Config config;
  try {
    config = load();
  } catch (const std::exception& error) {  // the running configuration stays, whole
    ++counters_.reloads_refused;
    return log_.Line("reload refused", error.what());
  }
  ++counters_.reloads;
  if (config.discovery == running_.discovery) {
    log_.Line("reload", "discovery stays at " + config.discovery);
  } else {
    log_.Line("reload", "discovery is now at " + config.discovery);
    running_.discovery = config.discovery;
    discovery_watch_.ChangeAddress(config.discovery);
  }
  auto at_next_start = [this](bool differs, std::string_view key) {
    if (differs) log_.Line("reload", std::string(key) + ": differs, holds from the next start");
  };
  at_next_start(config.name != running_.name, "name");
  at_next_start(config.listen != running_.listen, "listen");
  at_next_start(config.admin != running_.admin, "admin");
  at_next_start(config.cores != running_.cores || config.memory_mb != running_.memory_mb ||
                    config.sockets != running_.sockets,
                "limits");
  at_next_start(config.tuning != running_.tuning, "tuning");
  at_next_start(config.peers != running_.peers, "peers");
  at_next_start(config.failover != running_.failover, "failover");
  if (rations_ && config.rations.table) TakeBook(config);
  if (publications_) publications_->Found(config.publications.found);
  running_.publications.found = config.publications.found;
  at_next_start(config.publications != running_.publications, "publications");
  // Its names, too, are numbers of its settings.
  bool taken = schemas_ && config.settings == running_.settings && schemas_->Propose(config.subjects);
  if (taken) running_.subjects = config.subjects;
  at_next_start(config.subjects != running_.subjects, "publications.subjects");
  at_next_start(config.rations != running_.rations, "rations");
  at_next_start(config.overload != running_.overload, "overload");
  at_next_start(config.settings != running_.settings, "settings");
}

void Router::TakeBook(const Config& config) {
  // Its names were resolved to the numbers of its settings' classes and tenants.
  if (config.settings != running_.settings)
    return log_.Line("reload", "rations.book: holds from the next start, as the settings do");
  running_.rations.book = config.rations.book;
  running_.rations.table = config.rations.table;
  running_.rations.text = config.rations.text;
  publications_ ? publications_->Propose(config) : rations_->SetBook(config.rations.table);
}

}  // namespace peatbend::net
