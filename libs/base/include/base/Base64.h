#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace boragepitch::base {

/** Encodes with the standard alphabet and padding. */
std::string toBase64(std::string_view aBytes);
/** Decodes padded text; empty when the length is wrong or a character is outside the alphabet. */
std::optional<std::string> fromBase64(std::string_view aText);

} // namespace boragepitch::base
