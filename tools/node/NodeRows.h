#pragma once

#include <string>
#include <string_view>

#include "base/Error.h"
#include "net/Address.h"

namespace boragepitch::tools {

/** Table in the platform's store in which entries and loaders register themselves. */
inline constexpr const char* kNodeTable = "boragepitch";
/** Key prefix of an entry, followed by its name; the value is an EntryRow. */
inline constexpr const char* kEntryPrefix = "entry/";
/** Key prefix of a loader, followed by its name; the value is a LoaderRow. */
inline constexpr const char* kLoaderPrefix = "agent/";

/** An entry's row in the table of nodes. */
struct EntryRow
{
  std::string region;
  net::Address peers;   ///< Receives datagrams, and hands out copies of the operators' table.
  double bandwidth = 0; ///< Of the VM's link, Mbit/s; 0 if unknown.

  bool operator==(const EntryRow&) const = default;
};

std::string writeEntryRow(const EntryRow& aRow);
base::Result<EntryRow> readEntryRow(std::string_view aText);

/** A loader's row in the table of nodes. */
struct LoaderRow
{
  std::string zone;
  std::string region;
  std::string service; ///< Service of the engine on the same VM.
  net::Address weights;
};

std::string writeLoaderRow(const LoaderRow& aRow);
base::Result<LoaderRow> readLoaderRow(std::string_view aText);

} // namespace boragepitch::tools
