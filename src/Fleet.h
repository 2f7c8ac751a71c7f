#pragma once

/// \file Queues as operators configure them.

#include "Fleet/RouteTable.h" // IWYU pragma: export
