#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace boragepitch::base {

/** Standard alphabet with padding. */
std::string toBase64(std::string_view aBytes);
/** Empty optional on any character outside the alphabet or a wrong length. */
std::optional<std::string> fromBase64(std::string_view aText);

} // namespace boragepitch::base
