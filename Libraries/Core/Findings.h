#pragma once

#include <Core/Result.h>

#include <string>
#include <vector>

namespace Radishplank {

/// An error in the input and its location (a flag, a file and line, or a field).
struct Finding
{
    std::string place;
    std::string message;
};

/// Collects input errors so that they are reported together.
class Findings
{
public:
    void add(std::string place, std::string message);
    [[nodiscard]] bool isEmpty() const { return m_findings.empty(); }
    [[nodiscard]] const std::vector<Finding> &all() const { return m_findings; }
    [[nodiscard]] std::string text() const;
    [[nodiscard]] Error toError() const { return {ErrorKind::InvalidInput, text()}; }

private:
    std::vector<Finding> m_findings;
};

} // namespace Radishplank
