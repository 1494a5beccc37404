#include "resources/Snapshot.h"
