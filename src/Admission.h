#pragma once

/// \file Admission of urgent requests: plan limits, deadlines and fair shedding under overload.

#include "Admission/AdmissionControl.h"
#include "Admission/AdmissionMessages.h"
#include "Admission/AdmissionSettings.h"
