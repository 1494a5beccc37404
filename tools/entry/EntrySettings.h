#pragma once

#include "settings/Settings.h"

namespace boragepitch::tools {

/** Every key of bp-entry's INI file. */
settings::Schema entrySchema();

} // namespace boragepitch::tools
