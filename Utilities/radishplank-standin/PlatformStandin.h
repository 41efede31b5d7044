#pragma once

#include <Store/Store.h>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/json/object.hpp>

namespace Radishplank {

/// Stands in for the platform: its object store and its list of VMs, with faults on request.
///
/// Objects: `GET|PUT|DELETE /objects/KEY` (header `If-Version`), `GET /objects?prefix=&after=`,
/// `GET /watch?prefix=&since=&wait=`. VMs: `GET /vms`, `PUT /vms/ID` with `live` or `leaving`.
/// Faults: `POST /switches` with any of `outage`, `delayMs`, `loseAnswers`, `loseWatches`,
/// `vmLagMs`, `weightIntervalMs`. Weights of models: `GET /weights/MODEL`, refused when they are
/// asked for sooner after each other than that.
/// Counts of calls: `GET /counts`.
class PlatformStandin
{
public:
    void handle(HttpExchange &exchange);

private:
    struct Switches
    {
        bool isOut = false;
        std::int64_t delayMilliseconds = 0;
        /// Number of writes still to take effect without an answer.
        std::int64_t answersToLose = 0;
        /// Watches answer in time, but without the changes.
        bool losesWatches = false;
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
    bool takeLostAnswer();
    void noteChange();

    MemoryObjectStore m_store;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_changed;
    Switches m_switches;
    std::vector<VmChange> m_vmChanges;
    Counter m_reads;
    Counter m_writes;
    Counter m_watches;
    TimePoint m_weightsServedAt{};
    Counter m_weights;
    Counter m_weightsRefused;
};

} // namespace Radishplank
