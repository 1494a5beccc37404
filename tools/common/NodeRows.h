#pragma once

namespace boragepitch::tools {

/** Table of the system's own in which its processes register themselves. */
inline constexpr const char* kNodeTable = "boragepitch";
/** Key of an entry: this and its name; the value is its address for datagrams. */
inline constexpr const char* kEntryPrefix = "entry/";
/** Key of a manifest: this, the model, a slash and the version; the value is the manifest's
 * canonical text. Kept for loaders that start while the origin is away or has no connection left.
 */
inline constexpr const char* kManifestPrefix = "manifest/";
/** Key of a declared version: this, the model, a slash and the version; the value is the time of
 * the store's clock, in milliseconds, at which a process first saw the declaration. */
inline constexpr const char* kDeclaredPrefix = "declared/";
/** Key of a loader: this and its name; the value is a LoaderRow. */
inline constexpr const char* kAgentPrefix = "agent/";

} // namespace boragepitch::tools
