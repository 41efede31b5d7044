#pragma once

/// Public header of the Limits library: limits that entry processes enforce together.

#include <Limits/ClaimSet.h>
#include <Limits/ClaimedQuota.h>
#include <Limits/ConcurrencyQuota.h>
#include <Limits/ConcurrencyShare.h>
#include <Limits/OwnerLimits.h>
#include <Limits/QuotaClient.h>
#include <Limits/QuotaMessages.h>
#include <Limits/QuotaPledges.h>
#include <Limits/QuotaPool.h>
#include <Limits/QuotaRules.h>
#include <Limits/RateQuota.h>
#include <Limits/RetryAfterSchedule.h>
