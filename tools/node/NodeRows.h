#pragma once

namespace boragepitch::tools {

/** Table in the platform's store in which entries and loaders register themselves. */
inline constexpr const char* kNodeTable = "boragepitch";
/** Key prefix of an entry, followed by its name; the value is its address for datagrams. */
inline constexpr const char* kEntryPrefix = "entry/";
/** Key prefix of a loader, followed by its name; the value is a LoaderRow. */
inline constexpr const char* kLoaderPrefix = "agent/";

} // namespace boragepitch::tools
