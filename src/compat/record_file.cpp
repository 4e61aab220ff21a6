#include "compat/record_file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <utility>

namespace peatbend::compat {
namespace {

constexpr std::string_view kMagic = "peatbrg1";
constexpr std::size_t kHeaderBytes = 24,
                      kMaxFileBytes = 64u << 20;  // header: the magic, the record's size, its checksum

std::string EncodeNumber(std::uint64_t value) {
  std::string bytes;
  for (int i = 0; i < 8; ++i) bytes += static_cast<char>(value >> (8 * i));
  return bytes;
}
std::uint64_t DecodeNumber(std::string_view bytes, std::size_t at) {
  std::uint64_t value = 0;
  for (int i = 7; i >= 0; --i)
    value = value << 8 | static_cast<unsigned char>(bytes[at + static_cast<std::size_t>(i)]);
  return value;
}

class File {
 public:
  File(const std::string& path, int flags) : handle_(open(path.c_str(), flags | O_CLOEXEC, 0600)) {}
  ~File() { Close(); }
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  bool Close() {
    int handle = std::exchange(handle_, -1);
    return handle < 0 || close(handle) == 0;
  }
  bool Write(std::string_view bytes) {
    while (!bytes.empty()) {
      ssize_t written = write(handle_, bytes.data(), bytes.size());
      if (written < 0 && errno == EINTR) continue;
      if (written <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
  }
  int handle() const { return handle_; }

 private:
  int handle_;
};

}  // namespace

RecordFile::RecordFile(const std::string& folder)
    : file_(folder + "/register"), temp_file_(folder + "/register.new") {
  mkdir(folder.c_str(), 0700);
  folder_fd_ = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder_fd_ < 0) throw std::runtime_error(folder + ": " + std::strerror(errno));
  if (flock(folder_fd_, LOCK_EX | LOCK_NB) == 0) return;
  std::string error = errno == EWOULDBLOCK ? "another process has locked it" : std::strerror(errno);
  close(folder_fd_);
  throw std::runtime_error(folder + ": " + error);
}

RecordFile::~RecordFile() { close(folder_fd_); }

std::optional<std::string> RecordFile::Read() {
  unlink(temp_file_.c_str());
  struct stat info {};
  if (stat(file_.c_str(), &info) != 0) {
    if (errno == ENOENT) return std::nullopt;
    throw RecordFileCorrupted(file_ + ": " + std::strerror(errno));
  }
  auto corrupted = [this](const std::string& what) {
    return RecordFileCorrupted(
        file_ + ": " + what +
        "; move it away and start again: the replica then votes after state transfers from both others");
  };
  if (static_cast<std::size_t>(info.st_size) > kMaxFileBytes) throw corrupted("larger than any record");
  std::ifstream in(file_, std::ios::binary);
  std::string all((std::istreambuf_iterator<char>(in)), {});
  if (!in) throw corrupted("cannot be read");
  if (all.size() < kHeaderBytes || std::string_view(all).substr(0, kMagic.size()) != kMagic)
    throw corrupted("not a record of a replica");
  std::uint64_t size = DecodeNumber(all, 8), checksum = DecodeNumber(all, 16);
  if (size > all.size() - kHeaderBytes) throw corrupted("shorter than its record");
  std::string record = all.substr(kHeaderBytes, size);
  if (XXH3_64bits(record.data(), record.size()) != checksum) throw corrupted("its checksum is wrong");
  if (all.size() > kHeaderBytes + size &&
      truncate(file_.c_str(), static_cast<off_t>(kHeaderBytes + size)) != 0)
    throw corrupted("cannot truncate the bytes after its record");
  return record;
}

bool RecordFile::SetError(const std::string& what) {
  error_ = what + ": " + std::strerror(errno);
  return false;
}

bool RecordFile::Write(std::string_view record) {
  File file(temp_file_, O_WRONLY | O_CREAT | O_TRUNC);
  if (file.handle() < 0) return SetError(temp_file_);
  std::string header = std::string(kMagic) + EncodeNumber(record.size()) +
                       EncodeNumber(XXH3_64bits(record.data(), record.size()));
  if (!file.Write(header) || !file.Write(record) || fsync(file.handle()) != 0 || !file.Close())
    return SetError(temp_file_);
  if (rename(temp_file_.c_str(), file_.c_str()) != 0) return SetError(file_);
  return fsync(folder_fd_) == 0 || SetError(file_);
}

}  // namespace peatbend::compat
