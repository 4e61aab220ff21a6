#include <cstdio>
#include "lab/virtual_run.h"
int main(int argc,char**argv){ auto s=peatbend::lab::ReadScenario(argv[1]); auto r=peatbend::lab::RunVirtually(s, argc>2?std::stoull(argv[2]):1); std::fputs(peatbend::lab::Verdict(r).c_str(),stdout);}
