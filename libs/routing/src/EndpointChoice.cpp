#include "routing/EndpointChoice.h"
