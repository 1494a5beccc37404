#include "net/Address.h"

#include <charconv>

#include <arpa/inet.h>

namespace boragepitch::net {

base::Result<Address> parseAddress(std::string_view aText)
{
  auto invalid = [&] {
    return base::fail(base::ErrorKind::Invalid,
                      "address",
                      "'" + std::string(aText) + "' is not an address",
                      "give an IPv4 number and a port, such as 127.0.0.1:7000");
  };
  size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return invalid();
  }
  Address address;
  address.host = std::string(aText.substr(0, colon));
  in_addr parsed{};
  // inet_pton() ignores what follows a NUL byte.
  bool hasNul = address.host.find('\0') != std::string::npos;
  if (hasNul || inet_pton(AF_INET, address.host.c_str(), &parsed) != 1) {
    return invalid();
  }
  std::string_view port = aText.substr(colon + 1);
  auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (error != std::errc() || end != port.data() + port.size() || address.port < 1 ||
      address.port > 65535) {
    return invalid();
  }
  return address;
}

} // namespace boragepitch::net
