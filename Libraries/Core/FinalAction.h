#pragma once

#include <utility>

namespace Radishplank {

/// Calls a function when the scope ends, also by an exception.
template<typename Function>
class [[nodiscard]] FinalAction
{
public:
    explicit FinalAction(Function function)
        : m_function(std::move(function))
    {
    }
    ~FinalAction() { m_function(); }
    FinalAction(const FinalAction &) = delete;
    FinalAction &operator=(const FinalAction &) = delete;

private:
    Function m_function;
};

} // namespace Radishplank
