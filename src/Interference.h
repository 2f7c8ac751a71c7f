#pragma once

/// \file Learned slowdown between the workloads that share a worker.

#include "Interference/MixHistory.h"
#include "Interference/SlowdownModel.h"
