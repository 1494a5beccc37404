#pragma once

#include "settings/Settings.h"

namespace boragepitch::tools {

/** Schema of bp-agent's INI file. */
settings::Schema agentSchema();

} // namespace boragepitch::tools
