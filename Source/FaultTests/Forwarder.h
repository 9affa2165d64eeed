#ifndef SYCAMOREREACH_FAULTTESTS_FORWARDER_H
#define SYCAMOREREACH_FAULTTESTS_FORWARDER_H

#include "Network/Address.h"
#include "Network/EventLoop.h"

#include <map>
#include <memory>
#include <string>

struct bufferevent;
struct evconnlistener;

namespace FaultTests {

/// Passes TCP bytes or UDP datagrams on to a target, until it is told to drop
/// them silently.
class Forwarder {
public:
  Forwarder(Network::EventLoop &Loop, const Network::Address &Listen,
            const Network::Address &Target);
  ~Forwarder();

  void cut() { this->Dropping = true; }
  /// What was dropped stays lost; TCP connections begin anew.
  void heal();

private:
  struct Pair;
  void accept(int Descriptor);
  void pass(bufferevent *From, bufferevent *To) const;
  void drop(Pair *Which);
  void passDatagrams() const;

  Network::EventLoop &Loop;
  Network::Address Target;
  evconnlistener *Listener = nullptr;
  int Datagrams = -1;
  Network::EventHandle Readable;
  std::map<Pair *, std::unique_ptr<Pair>> Pairs;
  bool Dropping = false;
};

} // namespace FaultTests

#endif
