#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/Address.h"

namespace boragepitch::test {

/** Returns a loopback address with a port that was just free, so that concurrent test runs do not
 * collide. */
inline net::Address unusedAddress(const char* aHost = "127.0.0.1")
{
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, aHost, &address.sin_addr);
  socklen_t size = sizeof(address);
  (void)::bind(socket, reinterpret_cast<sockaddr*>(&address), size);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(socket);
  return { aHost, ntohs(address.sin_port) };
}

} // namespace boragepitch::test
