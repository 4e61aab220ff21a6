// Stores a replica's persistent state in a folder: one record with a checksum, replaced atomically. The only
// part of this package that does I/O. It blocks on the disk, which only registry updates cause.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace peatbend::compat {

// The stored record cannot be used; what() names the file and how to recover.
class RecordFileCorrupted : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class RecordFile {
 public:
  // Locks the folder for this process and creates it if it is missing. Throws std::runtime_error on failure,
  // also if another process holds the lock.
  explicit RecordFile(const std::string& folder);
  ~RecordFile();
  RecordFile(const RecordFile&) = delete;
  RecordFile& operator=(const RecordFile&) = delete;

  // Nothing if no record was ever written. Removes the remains of an interrupted write, and truncates bytes
  // after the record. Throws RecordFileCorrupted.
  std::optional<std::string> Read();
  // Whether the record is on the disk now in place of the former, which otherwise stays; then see error().
  bool Write(std::string_view record);
  const std::string& error() const { return error_; }

 private:
  bool SetError(const std::string& what);
  std::string file_, temp_file_;
  std::string error_;
  int folder_fd_ = -1;
};

}  // namespace peatbend::compat
