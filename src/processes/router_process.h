// Real router processes of a day: configuration, start, signals, and how they ended.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

#include "base/event_handles.h"

namespace peatbend::processes {

class RouterProcess {
 public:
  // Its folder holds its configuration and its log.
  RouterProcess(std::string program, std::string own_config, std::string folder, std::string address);
  ~RouterProcess();  // SIGKILL if it runs
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;

  void Write(const std::string& json) const;  // the platform's configuration
  void Start();                               // throws std::runtime_error
  // Leaves the running process to the caller, who is to reap it; the next Start is beside it.
  pid_t Retire();
  void Signal(int number);
  bool running() const { return pid_ > 0; }
  pid_t pid() const { return pid_; }
  const std::string& address() const { return address_; }
  const std::string& folder() const { return folder_; }
  // It has been reaped; what it had used is kept.
  void Ended();

  struct Usage {
    double cpu_s = 0, peak_mb = 0;
    int descriptors = 0;
  };
  // What its lives have used so far: CPU summed, the rest at the most.
  Usage Used() const;
  void Sample();

 private:
  std::string program_, own_config_, folder_, address_;
  pid_t pid_ = -1;
  Usage before_, life_;
};

// A TCP port on the host that nothing holds now.
int FreePort(const std::string& host);

}  // namespace peatbend::processes
