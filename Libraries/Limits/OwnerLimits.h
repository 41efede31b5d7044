#pragma once

#include <Catalogue/Catalogue.h>
#include <Serving/Serving.h>

#include <array>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace Radishplank {

/// What one entry process may let in of each limit. Thread-safe.
class OwnerLimits
{
public:
    /// Sets which part of each limit this process owns, as one of `members` processes.
    void setMembers(std::size_t members);
    /// Sets the rate that this process may use of a limit beyond, or below, its own part.
    void setRate(const std::string &key, double requestsPerSecond, TimePoint now);
    void clearRate(const std::string &key);

    /// Takes one request from the limit; otherwise returns how long to wait.
    std::optional<Duration> take(const std::string &key, const Limits &limits, TimePoint now);
    /// Gives back the concurrency that take() took.
    void release(const std::string &key);

    /// Returns the requests asked for since the last call, let in or not, by limit.
    struct Demand
    {
        std::string key;
        double limit = 0;
        std::uint64_t requests = 0;
    };
    std::vector<Demand> takeDemands();
    [[nodiscard]] boost::json::array state() const;

private:
    struct State
    {
        State(const Limits &limits, double share, TimePoint now);
        TokenBucket bucket;
        double limit = 0;
        double burst = 0;
        std::int64_t inFlight = 0;
        std::uint64_t demand = 0;
        std::optional<double> rateOverride;
    };
    struct Shard
    {
        mutable std::mutex mutex;
        std::unordered_map<std::string, State> states;
    };

    void configure(State &state, const Limits &limits, TimePoint now) const;
    [[nodiscard]] double share() const;
    Shard &shard(const std::string &key);

    std::array<Shard, 16> m_shards;
    std::atomic<std::size_t> m_members{1};
};

} // namespace Radishplank
