#include <Control/ControlMessages.h>

namespace Radishplank {

namespace {

Error notOfThisRole()
{
    return {ErrorKind::InvalidInput, "this process does not take that control call"};
}

} // namespace

Result<LoadReport> ControlHandler::observe()
{
    return notOfThisRole();
}

Result<AttemptFate> ControlHandler::cancelAttempt(const AttemptId &, const std::string &)
{
    return notOfThisRole();
}

Result<ExchangeResponse> ControlHandler::exchange(const ExchangeRequest &)
{
    return notOfThisRole();
}

Result<std::vector<LimitShare>> ControlHandler::lend(const LendRequest &)
{
    return notOfThisRole();
}

Result<std::vector<PoolDemand>> ControlHandler::demand()
{
    return notOfThisRole();
}

} // namespace Radishplank
