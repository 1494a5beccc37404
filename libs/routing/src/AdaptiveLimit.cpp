#include "routing/AdaptiveLimit.h"
