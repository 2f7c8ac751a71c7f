#pragma once

/// \file Types shared by all modules: identifiers, time, resources, VM lists and assertions.

#include "Core/Assert.h"
#include "Core/Clock.h"
#include "Core/Id.h"
#include "Core/Outcome.h"
#include "Core/Resources.h"
#include "Core/VmInfo.h"
