#pragma once

#include "settings/Settings.h"

namespace boragepitch::tools {

/** Schema of bp-entry's INI file. */
settings::Schema entrySchema();

} // namespace boragepitch::tools
