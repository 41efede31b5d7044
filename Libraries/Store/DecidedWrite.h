#pragma once

#include <Store/ObjectStore.h>

#include <algorithm>

namespace Radishplank {

/// Pause after the first try of a call that is in doubt; doubles with each further one.
inline constexpr Milliseconds doubtfulWritePause{20};
inline constexpr Milliseconds longestDoubtfulWritePause{200};

/// Writes an object and settles every doubt before it returns.
///
/// The value must be unique to this write (by a writer token or by its content), because an answer
/// lost after the write took effect is settled by reading back and comparing. A write that is still
/// under way cannot harm: it and its repetition carry the same expected version, so one of them at
/// most takes effect. Tries until mayGoOn() says no; then the error is Unavailable or Timeout.
template<ObjectStore Store, typename Pause, typename MayGoOn>
Result<Version> putDecided(Store &store, std::string_view key, const std::string &value,
                           Version expected, Pause &&pause, MayGoOn &&mayGoOn)
{
    const auto isDoubtful = [](const Error &error) {
        return error.kind == ErrorKind::Unavailable || error.kind == ErrorKind::Timeout;
    };
    bool isInDoubt = false;
    auto nextPause = doubtfulWritePause;
    while (true) {
        auto written = store.put(key, value, expected);
        if (!written.isError())
            return written;
        auto failure = written.takeError();
        if (isDoubtful(failure)) {
            isInDoubt = true;
        } else if (isInDoubt && failure.kind == ErrorKind::Refused) {
            // The store has done nothing this time, which says nothing of the earlier try.
            failure.kind = ErrorKind::Unavailable;
        } else if (!isInDoubt || failure.kind != ErrorKind::Conflict) {
            return failure;
        } else {
            // An earlier try may be what changed the version.
            auto current = store.get(key);
            if (!current.isError() && current.value().value == value)
                return current.value().version;
            if (!current.isError() || !isDoubtful(current.error()))
                return failure;
            failure = current.takeError();
        }
        if (!mayGoOn())
            return failure;
        pause(nextPause);
        nextPause = std::min(2 * nextPause, longestDoubtfulWritePause);
    }
}

/// Reads every object under a prefix; the revision is that of the first page.
template<ObjectStore Store>
Result<ObjectPage> listAll(Store &store, std::string_view prefix, ListContent content)
{
    ObjectPage all;
    std::string after;
    while (true) {
        auto page = TRY(store.list(prefix, after, content));
        if (after.empty())
            all.revision = page.revision;
        for (auto &object : page.objects)
            all.objects.push_back(std::move(object));
        if (page.isLast || page.objects.empty())
            return all;
        after = all.objects.back().key;
    }
}

} // namespace Radishplank
