// The memory of this process, as its system and its allocator report it.
#pragma once

#include <cstddef>

namespace peatbend::net {

struct ProcessMemory {
  std::size_t resident = 0;   // bytes, files' pages included; 0 if the system does not tell
  std::size_t allocated = 0;  // bytes that the program has allocated and not freed
  std::size_t retained = 0;   // bytes that were freed and are kept by the allocator
};

ProcessMemory ReadProcessMemory();

}  // namespace peatbend::net
