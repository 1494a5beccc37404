#pragma once

namespace boragepitch::tools {

/** Table of the system's own in which its processes register themselves. */
inline constexpr const char* kNodeTable = "boragepitch";
/** Key of an entry: this and its name; the value is its address for datagrams. */
inline constexpr const char* kEntryPrefix = "entry/";
/** Key of a loader: this and its name; the value is a LoaderRow. */
inline constexpr const char* kAgentPrefix = "agent/";

} // namespace boragepitch::tools
