#pragma once

#include <Store/ObjectStore.h>

#include <algorithm>
#include <optional>

namespace Radishplank {

/// Delay before the first retry; doubles with each further one.
inline constexpr Milliseconds initialWriteRetryDelay{20};
inline constexpr Milliseconds maxWriteRetryDelay{200};

/// Writes an object, retrying until it is known whether the write took effect.
///
/// The value must be unique to this write (by a writer token or by its content): a response that
/// was lost after the write took effect is recovered by reading back and comparing. An earlier
/// attempt that is still in flight is harmless, because all attempts carry the same expected
/// version and at most one of them takes effect. Retries while shouldRetry() returns true; after
/// that, the error is Unavailable or Timeout if an attempt may have taken effect.
template<ObjectStore Store, typename Pause, typename ShouldRetry>
Result<Version> putConfirmed(Store &store, std::string_view key, const std::string &value,
                             Version expected, Pause &&pause, ShouldRetry &&shouldRetry)
{
    const auto hasUnknownOutcome = [](const Error &error) {
        return error.kind == ErrorKind::Unavailable || error.kind == ErrorKind::Timeout;
    };
    bool mayHaveTakenEffect = false;
    auto nextDelay = initialWriteRetryDelay;
    while (true) {
        auto written = store.put(key, value, expected);
        if (!written.isError())
            return written;
        auto failure = written.takeError();
        if (hasUnknownOutcome(failure)) {
            mayHaveTakenEffect = true;
        } else if (mayHaveTakenEffect && failure.kind == ErrorKind::Refused) {
            // This attempt had no effect, but the outcome of an earlier one is still unknown.
            failure.kind = ErrorKind::Unavailable;
        } else if (!mayHaveTakenEffect || failure.kind != ErrorKind::Conflict) {
            return failure;
        } else {
            // An earlier attempt of this write may have changed the version.
            auto current = store.get(key);
            if (!current.isError() && current.value().value == value)
                return current.value().version;
            if (!current.isError() || current.error().kind == ErrorKind::NotFound)
                return failure;
            // Only what the object contains tells who has written it.
            failure = current.takeError();
            if (!hasUnknownOutcome(failure))
                failure.kind = ErrorKind::Unavailable;
        }
        if (!shouldRetry())
            return failure;
        pause(nextDelay);
        nextDelay = std::min(2 * nextDelay, maxWriteRetryDelay);
    }
}

/// Reads every object under a prefix, and holds one page of them at a time. Returns the revision of
/// the first page.
template<ObjectStore Store, typename Visitor>
Result<Version> visitAll(Store &store, std::string_view prefix, ListContent content,
                         Visitor &&visit)
{
    std::optional<Version> revision;
    std::string after;
    while (true) {
        auto page = TRY(store.list(prefix, after, content));
        revision = revision.value_or(page.revision);
        if (!page.objects.empty())
            after = page.objects.back().key;
        for (auto &object : page.objects)
            visit(std::move(object));
        if (page.isLast || page.objects.empty())
            return *revision;
    }
}

/// Reads every object under a prefix; the revision is that of the first page.
template<ObjectStore Store>
Result<ObjectPage> listAll(Store &store, std::string_view prefix, ListContent content)
{
    ObjectPage all;
    all.revision = TRY(visitAll(store, prefix, content, [&](StoredObject &&object) {
        all.objects.push_back(std::move(object));
    }));
    return all;
}

} // namespace Radishplank
