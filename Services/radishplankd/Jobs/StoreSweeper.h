#pragma once

#include "Common/FiberPause.h"
#include "Entry/EntryContext.h"

namespace Radishplank {

struct SweepSettings
{
    /// An upload that takes longer is refused; an unfinished one twice as old is discarded.
    Milliseconds uploadTime;
    /// How long the record of an idempotency key is kept.
    Milliseconds callRetention;
};

/// Removes stale objects from the store: parts of interrupted uploads and expired records of calls
/// with an idempotency key. One elected entry process of the fleet sweeps at a time.
class StoreSweeper
{
public:
    StoreSweeper(EntryContext &context, SweepSettings settings);

    void start();

private:
    void sweepUploads();
    void sweepCalls();
    /// Returns whether this process is elected to sweep.
    [[nodiscard]] bool isElected() const;
    Result<std::size_t> removeExpiredCalls(std::int64_t before);
    Result<std::size_t> removeExpiredCallsInPage(const ObjectPage &page, std::int64_t before);

    EntryContext &m_context;
    SweepSettings m_settings;
    FiberUploadStore m_uploads;
};

} // namespace Radishplank
