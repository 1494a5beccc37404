#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <boost/test/unit_test.hpp>

#include "net/Address.h"

namespace boragepitch::test {

/** Opens a listening socket for a server whose raw responses a test writes. The caller closes
 * it. */
inline int listenOn(const net::Address& aAddress)
{
  constexpr int kBacklog = 16;
  int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(aAddress.port));
  inet_pton(AF_INET, aAddress.host.c_str(), &address.sin_addr);
  BOOST_REQUIRE(::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  BOOST_REQUIRE(::listen(listener, kBacklog) == 0);
  return listener;
}

} // namespace boragepitch::test
