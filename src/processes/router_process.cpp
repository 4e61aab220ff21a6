#include "processes/router_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <stdexcept>

extern char** environ;

namespace peatbend::processes {

RouterProcess::RouterProcess(std::string program, std::string own_config, std::string folder,
                             std::string address)
    : program_(std::move(program)),
      own_config_(std::move(own_config)),
      folder_(std::move(folder)),
      address_(std::move(address)) {
  std::filesystem::create_directories(folder_);
}

RouterProcess::~RouterProcess() {
  if (!running()) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void RouterProcess::Write(const std::string& json) const {
  std::string next = folder_ + "/config.next";
  std::ofstream(next) << json;
  std::filesystem::rename(next, folder_ + "/config.json");
}

void RouterProcess::Start() {
  std::vector<std::string> words{program_};
  if (!own_config_.empty()) words.insert(words.end(), {"--config", own_config_});
  std::vector<char*> arguments;
  for (std::string& word : words) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  std::string config = "BALANCER_CONFIG=" + folder_ + "/config.json";
  std::vector<char*> environment;
  for (char** one = environ; *one != nullptr; ++one) {
    std::string_view variable = *one;
    if (!variable.starts_with("BALANCER_") && !variable.starts_with("TMPDIR=")) environment.push_back(*one);
  }
  environment.push_back(config.data());
  std::string folder = "TMPDIR=" + folder_;  // where a process that follows finds the running one
  environment.push_back(folder.data());
  environment.push_back(nullptr);
  std::string log = folder_ + "/log.txt";
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&files, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&files, 1, 2);
  int failed = posix_spawn(&pid_, program_.c_str(), &files, nullptr, arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&files);
  if (failed != 0) {
    pid_ = -1;
    throw std::runtime_error("cannot start " + program_ + ": " + std::strerror(failed));
  }
}

pid_t RouterProcess::Retire() {
  pid_t old = pid_;
  Ended();
  return old;
}

void RouterProcess::Signal(int number) {
  if (running()) kill(pid_, number);
}

void RouterProcess::Ended() {
  pid_ = -1;
  before_.cpu_s += life_.cpu_s;
  life_ = {};
}

RouterProcess::Usage RouterProcess::Used() const {
  Usage used = before_;
  used.cpu_s += life_.cpu_s;
  return used;
}

void RouterProcess::Sample() {
  if (!running()) return;
  std::string proc = fmt::format("/proc/{}", pid_);
  std::error_code error;
  double ns = 0;  // of all threads; the system's ticks would be too coarse for short stretches
  for (const auto& thread : std::filesystem::directory_iterator(proc + "/task", error)) {
    std::ifstream file(thread.path() / "schedstat");
    double of = 0;
    if (file >> of) ns += of;
  }
  if (ns > 0) life_.cpu_s = ns / 1e9;
  std::ifstream status(proc + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:"))
      before_.peak_mb = std::max(before_.peak_mb, std::stod(line.substr(6)) / 1024);
  }
  int count = 0;
  for (auto at = std::filesystem::directory_iterator(proc + "/fd", error);
       !error && at != std::filesystem::directory_iterator(); at.increment(error)) {
    ++count;
  }
  before_.descriptors = std::max(before_.descriptors, count);
}

int FreePort(const std::string& host) {
  int one = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  inet_pton(AF_INET, host.c_str(), &at.sin_addr);
  socklen_t size = sizeof at;
  bool fine = bind(one, reinterpret_cast<sockaddr*>(&at), size) == 0 &&
              getsockname(one, reinterpret_cast<sockaddr*>(&at), &size) == 0;
  close(one);
  if (!fine) throw std::runtime_error("no port on " + host);
  return ntohs(at.sin_port);
}

}  // namespace peatbend::processes
