#pragma once

/// \file
/// Admission control of urgent requests: plan limits, deadlines and fair load shedding.

#include "Admission/AdmissionControl.h"
#include "Admission/AdmissionMessages.h"
#include "Admission/AdmissionSettings.h"
