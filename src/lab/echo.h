// Members for the bench: they answer each command at once, on a loop and thread of their own, so that what is
// measured is the way to them. Keys that begin with "slow" are answered after a while.
#pragma once

#include <atomic>
#include <list>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/event_handles.h"
#include "standin/http_server.h"
#include "standin/port.h"

namespace peatbend::lab {

class EchoFleet {
 public:
  explicit EchoFleet(int members);
  ~EchoFleet();
  const std::vector<std::string>& addresses() const { return addresses_; }
  const std::string& discovery() const { return discovery_; }
  // The list in discovery's form.
  std::string List() const;

 private:
  class Connection;
  void Watch(evhttp_request* request);

  net::EventBasePtr base_;
  std::vector<std::unique_ptr<standin::Port>> ports_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::vector<std::string> addresses_;
  std::string discovery_;
  standin::EvhttpPtr http_;
  std::vector<std::shared_ptr<standin::Waiting>> watches_;
  net::Timer heartbeat_, stop_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace peatbend::lab
