#pragma once

#include <Store/Store.h>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/json/object.hpp>

namespace Radishplank {

/// Simulates the platform, that is, its object store and its list of VMs, with faults on request.
///
/// Objects: `GET|PUT|DELETE /objects/KEY` (header `If-Version`), `GET /objects?prefix=&after=`,
/// `GET /watch?prefix=&since=&wait=`. VMs: `GET /vms`, `PUT /vms/ID` with `live` or `leaving`.
/// Faults: `POST /switches` with any of `outage`, `delayMs`, `loseAnswers`, `loseWatches`,
/// `vmLagMs`, `weightIntervalMs`. Weights of models: `GET /weights/MODEL`, rejected if less than
/// `weightIntervalMs` has passed since the last accepted request.
/// Numbers of calls: `GET /counts`.
class PlatformStandin
{
public:
    void handle(HttpExchange &exchange);

private:
    struct Switches
    {
        bool isUnavailable = false;
        std::int64_t delayMilliseconds = 0;
        /// Number of further writes that take effect but whose responses are dropped.
        std::int64_t responsesToDrop = 0;
        /// Watches respond in time, but without the changes.
        bool dropsWatchChanges = false;
        std::int64_t vmListLagMilliseconds = 0;
        std::int64_t weightIntervalMilliseconds = 0;
    };
    struct VmChange
    {
        std::string vm;
        std::string state;
        TimePoint at;
    };

    HttpResponse answer(HttpExchange &exchange, const HttpTarget &target);
    HttpResponse answerObject(HttpExchange &exchange, const std::string &key);
    HttpResponse answerList(const HttpTarget &target);
    HttpResponse answerWatch(const HttpTarget &target);
    HttpResponse changeSwitches(HttpExchange &exchange);
    HttpResponse changeVm(HttpExchange &exchange, const std::string &vm);
    HttpResponse listVms();
    HttpResponse serveWeights();
    HttpResponse showCounts();
    bool consumeDroppedResponse();
    void notifyWatchers();

    MemoryObjectStore m_store;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_changed;
    Switches m_switches;
    std::vector<VmChange> m_vmChanges;
    Counter m_reads;
    Counter m_writes;
    Counter m_watches;
    TimePoint m_lastServedWeightsAt{};
    Counter m_weightsServed;
    Counter m_weightsRefused;
};

} // namespace Radishplank
