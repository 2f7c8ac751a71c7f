#pragma once

/// \file One process of the fleet on the users' platform.

#include "Node/NodeRuntime.h" // IWYU pragma: export
