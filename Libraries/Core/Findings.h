#pragma once

#include <Core/Result.h>

#include <string>
#include <vector>

namespace Radishplank {

/// One fault found in input, with the place where it stands (a flag, file and line, or field).
struct Finding
{
    std::string place;
    std::string message;
};

/// Collects findings so that all of them are reported together.
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
