#pragma once

#include <Catalogue/CatalogueObjects.h>
#include <Serving/SlotScheduler.h>

#include <string>

namespace Radishplank {

/// A request from an entry process to an agent to run an attempt.
struct AttemptRequest
{
    AttemptId id;
    std::string pool;
    EntryKind kind = EntryKind::Model;
    WorkClass workClass = WorkClass::Online;
    Suspicion suspicion = Suspicion::None;
    /// Whether the attempt may be abandoned and run again at another upstream.
    bool isRepeatable = true;
    TimePoint deadline;
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
};

} // namespace Radishplank
