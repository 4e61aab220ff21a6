// peatbend: the router's command line. `serve` wires configuration, stages and signals together.
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <optional>

#include "admin/ask.h"
#include "base/event_handles.h"
#include "config/config.h"
#include "router/router.h"

namespace {

constexpr std::chrono::milliseconds kAskPredecessor{2000};  // to be told what the running process hands on

// The configuration, with as many sockets as the system allows.
peatbend::Config Load(const std::string& own) {
  peatbend::Config config = peatbend::LoadConfig(own);
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  if (files.rlim_cur < static_cast<rlim_t>(config.sockets)) {  // as many as may be held, if that is allowed
    files.rlim_cur = std::min(files.rlim_max, static_cast<rlim_t>(config.sockets));
    setrlimit(RLIMIT_NOFILE, &files);
    config.sockets = std::min(config.sockets, static_cast<std::int64_t>(files.rlim_cur));
  }
  return config;
}

int Serve(const std::string& own) {
  peatbend::Config config = Load(own);
  std::signal(SIGPIPE, SIG_IGN);

  using namespace peatbend::net;
  EventBasePtr base = NewEventBase();
  if (!base) throw std::runtime_error("no event loop");

  // Signals first: they are taken while the running process is asked, and carried out once there is a router.
  std::optional<Router> router;
  auto stop = [&] { router->Stop([&] { event_base_loopbreak(base.get()); }); };
  Signal on_term(base.get(), SIGTERM, stop);
  Signal on_interrupt(base.get(), SIGINT, stop);
  Signal on_hangup(base.get(), SIGHUP, [&] { router->Reload([&] { return Load(own); }); });
  Signal on_usr1(base.get(), SIGUSR1, [&] { router->PrintCounters(); });

  const char* tmpdir = std::getenv("TMPDIR");
  std::string door = handover::PathFor(tmpdir, config.listen);
  std::optional<handover::Inheritance> inherited;
  if (!door.empty()) {
    inherited = handover::AskPredecessor(door, kAskPredecessor, [&](std::string_view why) {
      std::fprintf(stderr, "peatbend %s: handover: %.*s\n", config.name.c_str(), static_cast<int>(why.size()),
                   why.data());
    });
  }
  router.emplace(base.get(), config, std::move(inherited), door);
  event_base_dispatch(base.get());
  router->PrintCounters();
  return 0;
}

// Reads what `serve` would read, or one file alone; a line for each fault.
int Check(const std::string& own, const std::string& file) {
  auto none = [](const char*) -> const char* { return nullptr; };
  try {
    peatbend::Config config =
        file.empty() ? peatbend::LoadConfig(own) : peatbend::ReadConfig(peatbend::ReadOneFile(file), none);
    std::printf("peatbend: the configuration is sound: %s listens on %s, discovery at %s, %zu classes\n",
                config.name.c_str(), config.listen.c_str(), config.discovery.c_str(),
                config.settings.classes.size());
    return 0;
  } catch (const peatbend::ConfigError& error) {
    for (const std::string& fault : error.faults()) std::fprintf(stderr, "peatbend: %s\n", fault.c_str());
    return 1;
  }
}

// What a running router answers to the call, as a table or as it says it.
int Show(const char* call, std::string (*table)(const std::string&), const std::string& own,
         std::string address, bool as_json) {
  if (address.empty()) address = peatbend::LoadConfig(own).admin;
  if (address.empty()) throw peatbend::ConfigError("admin: missing; name the operators' address with --at");
  std::string answer = peatbend::net::AskRouter(address, call);
  bool fine = !answer.starts_with("fail");
  std::string text = as_json || !fine ? answer : table(answer);
  std::fprintf(fine ? stdout : stderr, "%s\n", text.c_str());
  return fine ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"peatbend: spreads keys over cache servers in front of one slow origin"};
  app.footer(
      "Without a command, serves.\n\n"
      "Environment: BALANCER_CONFIG names the platform's JSON file; BALANCER_NAME, BALANCER_LISTEN,\n"
      "BALANCER_DISCOVERY and BALANCER_ADMIN stand in for keys that it lacks.\n"
      "Signals: SIGTERM and SIGINT stop after what was taken is answered; SIGHUP reads the files again;\n"
      "SIGUSR1 prints the counters.\n"
      "Exit status: 0 after a stop, 1 for a faulty configuration or a failed start, above 100 for wrong\n"
      "arguments.");
  std::string own, file;
  app.add_option("-c,--config", own, "the router's own configuration (TOML; see docs/configuration.md)")
      ->envname("PEATBEND_CONFIG")
      ->type_name("FILE");
  app.require_subcommand(0, 1);
  auto* serve = app.add_subcommand("serve", "take clients and serve them until stopped");
  auto* check = app.add_subcommand("check", "read and check the configuration; name each faulty key");
  check->add_option("FILE", file, "check this file alone: .toml, or else the platform's JSON");
  std::string at;
  bool as_json = false;
  auto* peers = app.add_subcommand("peers", "show what a running router sees of its fleet");
  auto* failover =
      app.add_subcommand("failover", "show the operations that a running router records with others");
  // To be taken out after two releases.
  app.add_subcommand("work", "renamed to failover")->group("")->allow_extras()->callback([] {
    throw CLI::ParseError("work: renamed to failover", CLI::ExitCodes::ExtrasError);
  });
  for (auto* command : {peers, failover}) {
    command->add_option("--at", at, "its operators' address; else as configured")->type_name("ADDRESS:PORT");
    command->add_flag("--json", as_json, "as one JSON object");
  }
  auto* version = app.add_subcommand("version", "print the version");
  for (auto* command : {serve, check, peers, failover, version}) command->fallthrough();
  CLI11_PARSE(app, argc, argv);
  try {
    if (*version) return std::printf("peatbend %s\n", PEATBEND_VERSION) < 0 ? 1 : 0;
    if (*peers) return Show("PEERS", peatbend::net::PeersTable, own, at, as_json);
    if (*failover) return Show("FAILOVER", peatbend::net::FailoverTable, own, at, as_json);
    return *check ? Check(own, file) : Serve(own);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "peatbend: %s\n", error.what());
    return 1;
  }
}
