#pragma once

#include "Common/FiberPause.h"
#include "Entry/EntryContext.h"

namespace Radishplank {

struct SweepSettings
{
    /// An upload that takes longer is refused; one twice as old is discarded.
    Milliseconds uploadTime;
    /// How long the same idempotency key finds the first call.
    Milliseconds callMemory;
};

/// Removes from the store what nobody needs any more: parts of uploads that were cut off, and old
/// records of calls. One entry process of the fleet does it at a time.
class StoreSweeper
{
public:
    StoreSweeper(EntryContext &context, SweepSettings settings);

    void start();

private:
    void sweepUploads();
    void sweepCalls();
    /// Tells whether it falls to this process.
    [[nodiscard]] bool isElected() const;
    Result<std::size_t> removeCalls(std::int64_t before);
    Result<std::size_t> removeCallsOf(const ObjectPage &page, std::int64_t before);

    EntryContext &m_context;
    SweepSettings m_settings;
    FiberUploadStore m_uploads;
};

} // namespace Radishplank
