// The file of a replica's state: replaced atomically, and rejected if it is damaged.
#include "compat/record_file.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>

namespace peatbend::compat {
namespace {

struct Folder {
  Folder() { std::filesystem::remove_all(path); }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string File() const { return path + "/register"; }
  std::string Bytes() const {
    std::ifstream in(File(), std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  void Put(const std::string& bytes, const std::string& name = "register") const {
    std::ofstream(path + "/" + name, std::ios::binary) << bytes;
  }
  std::string path =
      (std::filesystem::temp_directory_path() / ("peatbend-store-" + std::to_string(getpid()))).string();
};

TEST_CASE("the last complete write is read, and an interrupted one is ignored") {
  Folder folder;
  std::string large(200'000, '\0');
  {
    RecordFile file(folder.path);
    CHECK_FALSE(file.Read());
    CHECK(file.Write("one"));
    CHECK(file.Write(large));
    CHECK_THROWS_AS(RecordFile{folder.path}, std::runtime_error);
  }
  folder.Put("half of anoth", "register.new");
  RecordFile file(folder.path);
  CHECK(file.Read() == large);
  CHECK_FALSE(std::filesystem::exists(folder.path + "/register.new"));
  CHECK(file.Write(""));
  CHECK(file.Read() == "");
}

TEST_CASE(
    "bytes after the record are truncated; any other change of a byte is rejected with the file's name") {
  Folder folder;
  RecordFile file(folder.path);
  REQUIRE(file.Write("what was promised"));
  std::string whole = folder.Bytes();
  folder.Put(whole + "torn");
  CHECK(file.Read() == "what was promised");
  CHECK(folder.Bytes() == whole);
  for (std::size_t at = 0; at < whole.size(); ++at) {
    std::string other = whole;
    other[at] = static_cast<char>(other[at] ^ 1);
    folder.Put(other);
    CAPTURE(at);
    CHECK_THROWS_WITH_AS(file.Read(), doctest::Contains((folder.File() + ": ").c_str()), RecordFileCorrupted);
    folder.Put(whole.substr(0, at));
    CHECK_THROWS_WITH_AS(file.Read(), doctest::Contains("move it away"), RecordFileCorrupted);
  }
}

TEST_CASE("a failed write leaves the former record, and its error is available") {
  Folder folder;
  RecordFile file(folder.path);
  REQUIRE(file.Write("one"));
  std::filesystem::create_directory(folder.path + "/register.new");
  CHECK_FALSE(file.Write("two"));
  CHECK(file.error().find("register.new") != std::string::npos);
  std::filesystem::remove(folder.path + "/register.new");
  CHECK(file.Read() == "one");
}

}  // namespace
}  // namespace peatbend::compat
