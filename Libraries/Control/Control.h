#pragma once

/// Public header of the Control library: RPC between the processes of the system.

#include <Control/ControlMessages.h>
#include <Control/ControlThread.h>
