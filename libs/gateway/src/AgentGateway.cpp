#include "gateway/AgentGateway.h"
