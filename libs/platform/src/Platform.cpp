#include "platform/Platform.h"
