#pragma once

#include <Batch/Batch.h>

#include <boost/fiber/operations.hpp>

namespace Radishplank {

/// Suspends the calling fiber between two tries of a write.
struct FiberPause
{
    void operator()(Milliseconds wait) const { boost::this_fiber::sleep_for(wait); }
};

/// The jobs in the platform's store, as fibers use them.
using FiberJobStore = JobStore<HttpObjectStore, FiberPause>;
using FiberShardLease = ShardLease<HttpObjectStore>;
using FiberUploadStore = UploadStore<HttpObjectStore, FiberPause>;

/// How long a caller's request goes on trying to write.
inline constexpr Milliseconds callerStorePatience{3'000};

} // namespace Radishplank
