#include "base/process_memory.h"

#include <malloc.h>
#include <unistd.h>

#include <fstream>

namespace peatbend::net {

ProcessMemory ReadProcessMemory() {
  ProcessMemory memory;
  std::size_t total_pages = 0, resident_pages = 0;
  std::ifstream pages("/proc/self/statm");
  if (pages >> total_pages >> resident_pages) {
    memory.resident = resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  }
  struct mallinfo2 heap = mallinfo2();
  memory.allocated = heap.uordblks + heap.hblkhd;
  memory.retained = heap.fordblks;
  return memory;
}

}  // namespace peatbend::net
