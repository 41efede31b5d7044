#include <Net/Process.h>

#include <boost/json/serialize.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace Radishplank {

namespace {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

sigset_t processSignals()
{
    auto signals = stopSignals();
    sigaddset(&signals, SIGHUP);
    return signals;
}

} // namespace

void blockStopSignals()
{
    const auto signals = processSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void waitForStopSignal()
{
    const auto signals = stopSignals();
    int received = 0;
    sigwait(&signals, &received);
}

ProcessSignal waitForProcessSignal()
{
    const auto signals = processSignals();
    int received = 0;
    sigwait(&signals, &received);
    return received == SIGHUP ? ProcessSignal::Reload : ProcessSignal::Stop;
}

Result<void> writeReadyFile(const std::string &path, const boost::json::object &content)
{
    if (path.empty())
        return {};
    const std::string partial = path + ".partial";
    {
        std::ofstream file(partial);
        file << boost::json::serialize(content) << '\n';
        if (!file)
            return Error{ErrorKind::Unavailable, "cannot write " + partial};
    }
    if (std::rename(partial.c_str(), path.c_str()) != 0)
        return Error{ErrorKind::Unavailable, "cannot write " + path};
    return {};
}

void exitProcess(int status)
{
    std::fflush(nullptr);
    std::_Exit(status);
}

} // namespace Radishplank
