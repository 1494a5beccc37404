#pragma once

#include <string>
#include <string_view>

#include "base/Error.h"

namespace boragepitch::net {

/** An IPv4 address and a port. */
struct Address
{
  std::string host;
  int port = 0;

  auto operator<=>(const Address&) const = default;
  std::string toString() const { return host + ":" + std::to_string(port); }
};

/** Parses "127.0.0.1:7000"; the host must be a numeric IPv4 address, the port 1 to 65535. */
base::Result<Address> parseAddress(std::string_view aText);

} // namespace boragepitch::net
