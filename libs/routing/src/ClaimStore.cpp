#include "routing/ClaimStore.h"
