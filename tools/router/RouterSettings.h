#pragma once

#include "settings/Settings.h"

namespace boragepitch::tools {

/** What the INI file of bp-router may contain. */
settings::Schema routerSchema();

} // namespace boragepitch::tools
