#include "routing/Admission.h"
