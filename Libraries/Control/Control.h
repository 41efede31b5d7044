#pragma once

/// Public header of the Control library: calls between the system's own processes.

#include <Control/ControlMessages.h>
#include <Control/ControlThread.h>
