#include "Recovery/CatchUp.h"
