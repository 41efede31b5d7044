#include <Control/ControlMessages.h>

namespace Radishplank {

namespace {

Error unsupportedCall()
{
    return {ErrorKind::InvalidInput, "this process does not take that control call"};
}

} // namespace

Result<LoadReport> ControlHandler::observe()
{
    return unsupportedCall();
}

Result<AttemptFate> ControlHandler::cancelAttempt(const AttemptId &, const std::string &)
{
    return unsupportedCall();
}

Result<ExchangeResponse> ControlHandler::exchange(const ExchangeRequest &)
{
    return unsupportedCall();
}

Result<std::vector<LimitShare>> ControlHandler::lend(const LendRequest &)
{
    return unsupportedCall();
}

Result<std::vector<PoolDemand>> ControlHandler::demand()
{
    return unsupportedCall();
}

} // namespace Radishplank
