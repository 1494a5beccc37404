#include "control/FleetView.h"
