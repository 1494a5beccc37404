#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace boragepitch::control {

// Key layout of the configuration in the table service.

inline constexpr const char* kRevisionKey = "rev";
inline constexpr const char* kResourcePrefix = "res/";
inline constexpr const char* kLogPrefix = "log/";

/** Zero-pads the revision so that keys sort by revision. */
std::string logKey(uint64_t aRevision);
std::string resourceKey(std::string_view aKind, std::string_view aName);

} // namespace boragepitch::control
