#pragma once

/// \file Checked settings, the two operator lists and planned work.

#include "Config/Amounts.h"
#include "Config/Finding.h"
#include "Config/Lists.h"
#include "Config/ListsFold.h"
#include "Config/Name.h"
#include "Config/PlannedWorkFold.h"
#include "Config/Settings.h"
