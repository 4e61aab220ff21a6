#include <cstdio>
#include "lab/virtual_run.h"
#include "lab/socket_run.h"
#include <unistd.h>
int main(int argc,char**argv){ auto s=peatbend::lab::ReadScenario(argv[1]); auto r=peatbend::lab::RunVirtually(s, argc>2?std::stoull(argv[2]):1); std::fputs(peatbend::lab::Verdict(r).c_str(),stdout);
if(argc>3){ r=peatbend::lab::RunOnSockets(s,std::stoull(argv[2]),{argv[3],"","/tmp/lab"+std::to_string(getpid()),{}}); std::fputs(peatbend::lab::Verdict(r).c_str(),stdout);} }
