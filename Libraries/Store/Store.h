#pragma once

/// Public header of the Store library: clients of the platform's object store, with writes that
/// resolve unknown outcomes.

#include <Store/ConfirmedWrite.h>
#include <Store/HttpObjectStore.h>
#include <Store/MemoryObjectStore.h>
#include <Store/ObjectMirror.h>
#include <Store/ObjectStore.h>
#include <Store/VmList.h>
