// The main function of all doctest programs. Skips the test cases that match the environment variable
// PEATBEND_KNOWN_RED, a comma-separated list of doctest patterns that scripts/test sets from KNOWN-RED.txt.
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
