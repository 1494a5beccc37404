#pragma once

#include "settings/Settings.h"

namespace boragepitch::tools {

/** Every key of bp-agent's INI file. */
settings::Schema agentSchema();

} // namespace boragepitch::tools
