#pragma once

/// Public header of the Placement library: which engine loads which model, and which process
/// decides it.

#include <Placement/DemandMeter.h>
#include <Placement/PlacementLease.h>
#include <Placement/PlacementPlanner.h>
