#pragma once

#include <Catalogue/CatalogueObjects.h>
#include <Serving/SlotScheduler.h>

#include <string>

namespace Radishplank {

/// What an entry process asks an agent to run.
struct AttemptOrder
{
    AttemptId id;
    std::string pool;
    EntryKind kind = EntryKind::Model;
    WorkClass workClass = WorkClass::Online;
    Suspicion suspicion = Suspicion::None;
    /// Whether the attempt may be given up and run again elsewhere.
    bool isRepeatable = true;
    TimePoint deadline;
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
};

} // namespace Radishplank
