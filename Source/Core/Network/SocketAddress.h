#ifndef SYCAMOREREACH_NETWORK_SOCKETADDRESS_H
#define SYCAMOREREACH_NETWORK_SOCKETADDRESS_H

#include "Network/Address.h"

#include <netinet/in.h>

namespace Network {

sockaddr_in toSocketAddress(const Address &From);

} // namespace Network

#endif
