#include "stores/Stores.h"
