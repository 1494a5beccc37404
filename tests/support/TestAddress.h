#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <string>
#include <system_error>

#include "net/Address.h"

namespace boragepitch::test {

/** A loopback host of this process alone, so that the servers of concurrent tests do not collide
 * with each other or with the connections of other processes. */
inline std::string ownHost()
{
  auto id = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(64 + (id >> 16 & 63)) + "." + std::to_string(id >> 8 & 255) + "." +
         std::to_string(id & 255);
}

/** Returns a loopback address at which nobody listens. Each call returns another one. */
inline net::Address unusedAddress()
{
  // Below the ports that the system assigns to connections.
  constexpr int kFirstPort = 10000;
  constexpr int kPorts = 20000;
  static std::atomic<int> next{ 0 };
  net::Address address{ ownHost(), 0 };
  sockaddr_in name{};
  name.sin_family = AF_INET;
  inet_pton(AF_INET, address.host.c_str(), &name.sin_addr);
  for (int i = 0; i < kPorts; ++i) {
    address.port = kFirstPort + next++ % kPorts;
    name.sin_port = htons(static_cast<uint16_t>(address.port));
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    bool isFree = ::bind(socket, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0;
    ::close(socket);
    if (isFree) {
      return address;
    }
  }
  throw std::system_error(EADDRINUSE, std::generic_category(), address.host);
}

} // namespace boragepitch::test
