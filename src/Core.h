#pragma once

/// \file Vocabulary of every module: identifiers, time, resources and run-time assertions.

#include "Core/Assert.h"
#include "Core/Clock.h"
#include "Core/Id.h"
#include "Core/Outcome.h"
#include "Core/Resources.h"
#include "Core/VmInfo.h"
