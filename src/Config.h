#pragma once

/// \file Validated settings, the operators' lists of plans and limits, and planned work.

#include "Config/Amounts.h"
#include "Config/Finding.h"
#include "Config/Lists.h"
#include "Config/ListsFold.h"
#include "Config/Name.h"
#include "Config/PlannedWorkFold.h"
#include "Config/Settings.h"
