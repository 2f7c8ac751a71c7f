#pragma once

/// \file Records of the log and their encoding.

#include "Records/Codec.h"
#include "Records/Fold.h"
#include "Records/Record.h"
