#include "gateway/EntryGateway.h"
