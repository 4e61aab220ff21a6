// peatbend_benchlink: runs Balancer instances for the simulator, with its line protocol on standard input and
// output.
#include <unistd.h>

#include <cstdio>
#include <exception>
#include <string>
#include <string_view>

#include "wire.h"

namespace {

bool WriteAll(const std::string& text) {
  std::size_t done = 0;
  while (done < text.size()) {
    ssize_t wrote = write(STDOUT_FILENO, text.data() + done, text.size() - done);
    if (wrote <= 0) return false;
    done += static_cast<std::size_t>(wrote);
  }
  return true;
}

int Run() {
  peatbend::benchlink::Session session;
  std::string input, reply;
  std::size_t start = 0;    // of the current line
  std::size_t scanned = 0;  // no newline from start to here
  char buffer[1 << 16];
  for (;;) {
    ssize_t got = read(STDIN_FILENO, buffer, sizeof buffer);
    if (got <= 0) break;
    input.append(buffer, static_cast<std::size_t>(got));
    for (std::size_t end; (end = input.find('\n', scanned)) != std::string::npos;) {
      if (session.HandleLine(std::string_view(input).substr(start, end - start), reply)) {
        if (!WriteAll(reply)) return 1;
        reply.clear();
      }
      start = scanned = end + 1;
    }
    input.erase(0, start);
    start = 0;
    scanned = input.size();
  }
  if (!input.empty() || !session.between_batches()) {
    std::fprintf(stderr, "peatbend_benchlink: line %llu: expected END, found the end of input\n",
                 static_cast<unsigned long long>(session.line_number() + 1));
    return 1;
  }
  return 0;
}

}  // namespace

int main() {
  try {
    return Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "peatbend_benchlink: %s\n", error.what());
    return 1;
  }
}
