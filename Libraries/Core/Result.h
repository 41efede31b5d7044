#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace Radishplank {

/// Category of an error; code branches on it, the message is for people.
enum class ErrorKind {
    InvalidInput,
    Unauthorized,
    NotFound,
    Conflict,
    TooLarge,
    Refused,
    /// A limit on all accepted work is reached at present.
    LimitReached,
    Timeout,
    Unavailable,
    Internal,
};

/// An error: its category, a message and an optional retry delay.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    /// How long the caller should wait before a retry, if known.
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

/// The result of an operation that returns no value.
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

/// Evaluates to the value of a Result, or returns its error from the enclosing function.
#define TRY(expression)                                                                            \
    __extension__({                                                                                \
        auto tryResult = (expression);                                                             \
        if (tryResult.isError())                                                                   \
            return tryResult.takeError();                                                          \
        tryResult.takeValue();                                                                     \
    })
