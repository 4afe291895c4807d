#include "bundle/Check.h"
