#include "Network/SocketAddress.h"

#include <arpa/inet.h>

namespace Network {

sockaddr_in toSocketAddress(const Address &From) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(From.Port);
  inet_pton(AF_INET, From.Ip.c_str(), &Result.sin_addr);
  return Result;
}

} // namespace Network
