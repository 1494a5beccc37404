#include "routing/FairShare.h"
