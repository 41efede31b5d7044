#pragma once

/// Public header of the Limits library: owners' rates, shared between entry processes.

#include <Limits/ConcurrencyLedger.h>
#include <Limits/ConcurrencyPart.h>
#include <Limits/OwnerLimits.h>
#include <Limits/RateLedger.h>
