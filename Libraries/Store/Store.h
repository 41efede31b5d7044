#pragma once

/// Public header of the Store library: the platform's object store and safe writes to it.

#include <Store/DecidedWrite.h>
#include <Store/HttpObjectStore.h>
#include <Store/MemoryObjectStore.h>
#include <Store/ObjectMirror.h>
#include <Store/ObjectStore.h>
#include <Store/VmList.h>
