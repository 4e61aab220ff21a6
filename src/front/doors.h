// What clients' sessions ask of the program's life cycle: whether they are welcome, and what becomes of a
// connection on which nothing is owed. The router implements it; front depends on nothing behind it.
#pragma once

namespace peatbend::net {

class Doors {
 public:
  enum class Rest {    // a connection on which nothing is owed
    kStays,            // until its time is up
    kCloses,           // at once after an answer
    kGoesToSuccessor,  // is handed to the process that follows
  };
  virtual ~Doors() = default;
  // What PING is answered.
  virtual bool welcome() const = 0;
  virtual Rest rest() const = 0;
};

}  // namespace peatbend::net
