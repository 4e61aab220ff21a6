// What the tests of operations share: a folder with a door for upgrades, and calls to the second address.
#pragma once

#include <filesystem>
#include <string>

#include "net/stage.h"

namespace peatbend::net::test {

using Clients = Counters::PerClass;

struct Folder {
  Folder() {
    char name[] = "/tmp/peatbend-test-XXXXXX";
    REQUIRE(mkdtemp(name) != nullptr);
    path = name;
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string Door() const { return path + "/door"; }
  std::string path;
};

inline std::string Call(Stage& stage, const Router& router, const std::string& text) {
  End& caller = stage.clients.emplace_back(stage.base.get(), -1);
  caller.Connect(router.admin_port());
  caller.Say(text);
  stage.Until([&] { return caller.closed; });
  return caller.got;
}

inline const auto kYes = Stage::Says(Value("v"));

}  // namespace peatbend::net::test
