// The start of every doctest program. Test cases named in the environment variable PEATBEND_KNOWN_RED
// (doctest's comma-separated patterns; scripts/test sets it from KNOWN-RED.txt) are passed over; all others
// run.
#define DOCTEST_CONFIG_IMPLEMENT
#include <cstdlib>

#include "doctest/doctest.h"

int main(int argc, char** argv) {
  doctest::Context context;
  if (const char* known_red = std::getenv("PEATBEND_KNOWN_RED")) {
    context.addFilter("test-case-exclude", known_red);
  }
  context.applyCommandLine(argc, argv);
  return context.run();
}
