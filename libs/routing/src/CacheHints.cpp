#include "routing/CacheHints.h"
