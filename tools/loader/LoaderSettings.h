#pragma once

#include "settings/Settings.h"

namespace boragepitch::tools {

/** What the INI file of bp-loader may contain. */
settings::Schema loaderSchema();

} // namespace boragepitch::tools
