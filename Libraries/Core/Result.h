#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace Radishplank {

/// Broad reason for a failure; callers branch on it, people read the message.
enum class ErrorKind {
    InvalidInput,
    Unauthorized,
    NotFound,
    Conflict,
    TooLarge,
    Refused,
    /// A limit on all that is accepted leaves no room now.
    LimitReached,
    Timeout,
    Unavailable,
    Internal,
};

/// A failure with its reason.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    /// When the caller should come again, if that is known.
    std::optional<std::chrono::milliseconds> retryAfter{};
};

/// Either a value or the error that prevented it.
template<typename Value>
class [[nodiscard]] Result
{
public:
    Result(Value value)
        : m_state(std::in_place_index<0>, std::move(value))
    {
    }
    Result(Error error)
        : m_state(std::in_place_index<1>, std::move(error))
    {
    }

    [[nodiscard]] bool isError() const { return m_state.index() == 1; }
    [[nodiscard]] const Value &value() const { return std::get<0>(m_state); }
    [[nodiscard]] Value &value() { return std::get<0>(m_state); }
    [[nodiscard]] const Error &error() const { return std::get<1>(m_state); }
    Value takeValue() { return std::move(std::get<0>(m_state)); }
    [[nodiscard]] Error takeError() { return std::move(std::get<1>(m_state)); }

private:
    std::variant<Value, Error> m_state;
};

/// The outcome of an operation that yields no value.
template<>
class [[nodiscard]] Result<void>
{
public:
    Result() = default;
    Result(Error error)
        : m_state(std::move(error))
    {
    }

    [[nodiscard]] bool isError() const { return m_state.index() == 1; }
    [[nodiscard]] const Error &error() const { return std::get<1>(m_state); }
    [[nodiscard]] Error takeError() { return std::move(std::get<1>(m_state)); }
    void takeValue() {}

private:
    std::variant<std::monostate, Error> m_state;
};

} // namespace Radishplank

/// Evaluates a Result; on an error returns it from the enclosing function, else yields the value.
#define TRY(expression)                                                                            \
    __extension__({                                                                                \
        auto tryResult = (expression);                                                             \
        if (tryResult.isError())                                                                   \
            return tryResult.takeError();                                                          \
        tryResult.takeValue();                                                                     \
    })
