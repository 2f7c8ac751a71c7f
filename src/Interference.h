#pragma once

/// \file
/// Learned performance interference between the workloads that share a worker.

#include "Interference/MixHistory.h"
#include "Interference/SlowdownModel.h"
