#pragma once

/// Public header of the Core library: results, identifiers, time, settings, logs and metrics.

#include <Core/Base64.h>
#include <Core/CaughtException.h>
#include <Core/Clock.h>
#include <Core/Endpoint.h>
#include <Core/FinalAction.h>
#include <Core/Findings.h>
#include <Core/Hash.h>
#include <Core/Identifier.h>
#include <Core/Json.h>
#include <Core/Log.h>
#include <Core/LogBudget.h>
#include <Core/Metrics.h>
#include <Core/Random.h>
#include <Core/RcuPointer.h>
#include <Core/Result.h>
#include <Core/Settings.h>
