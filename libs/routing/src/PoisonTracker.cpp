#include "routing/PoisonTracker.h"
