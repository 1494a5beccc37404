#include "routing/StreamAssembler.h"
