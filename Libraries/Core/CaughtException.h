#pragma once

#include <exception>
#include <new>
#include <optional>
#include <string>

namespace Radishplank {

/// Calls a function and returns the message of the exception that ended it; nothing if it returned.
/// A failed allocation is not caught: memory is short, or damaged, for all that the process does.
///
/// For one call or one run of an item, which must not end the process. Not for loops that serve all
/// of them: without the loop, the process would live on and do nothing.
template<typename Function>
std::optional<std::string> exceptionOf(Function &&function)
{
    // The caller acts on it after the handler has ended: the state of a handler belongs to the
    // thread, so a fiber must not be suspended in one.
    try {
        function();
    } catch (const std::bad_alloc &) {
        throw;
    } catch (const std::exception &error) {
        return error.what();
    }
    return {};
}

} // namespace Radishplank
