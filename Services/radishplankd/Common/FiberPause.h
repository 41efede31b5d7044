#pragma once

#include <Batch/Batch.h>

#include <boost/fiber/operations.hpp>

namespace Radishplank {

/// Suspends the calling fiber between two attempts at a write.
struct FiberPause
{
    void operator()(Milliseconds wait) const { boost::this_fiber::sleep_for(wait); }
};

/// Job storage in the platform's object store, for use on fibers.
using FiberJobStore = JobStore<HttpObjectStore, FiberPause>;
using FiberShardLease = ShardLease<HttpObjectStore>;
using FiberUploadStore = UploadStore<HttpObjectStore, FiberPause>;

/// How long a caller's request retries a write to the store.
inline constexpr Milliseconds callerStoreRetryTimeout{3'000};

} // namespace Radishplank
