#include "relay/HeaderCodec.h"

#include <boost/algorithm/string/predicate.hpp>

namespace boragepitch::relay {

std::string_view headerValue(const HeaderLines& aLines, std::string_view aName)
{
  for (const HeaderLine& line : aLines) {
    if (boost::algorithm::iequals(line.name, aName)) {
      return line.value;
    }
  }
  return {};
}

} // namespace boragepitch::relay
