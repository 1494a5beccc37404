#include "routing/EndpointTable.h"
