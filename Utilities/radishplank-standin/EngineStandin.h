#pragma once

#include <Core/Core.h>
#include <Net/Net.h>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <deque>
#include <list>
#include <map>
#include <memory>

namespace Radishplank {

struct EngineSettings
{
    std::uint64_t slots = 4;
    Milliseconds tokenInterval{20};
    /// Extra time a token takes for each other stream in the running batch, in microseconds.
    std::uint64_t batchSlopeMicroseconds = 0;
    /// Time to read one prompt word that is not in the prefix cache, in microseconds.
    std::uint64_t prefillMicroseconds = 200;
    std::uint64_t cacheBlocks = 256;
    Milliseconds loadLag{200};
    bool checksFencing = false;
    /// Where models are loaded from; without it the engine has every model.
    Endpoint weightStore{"", 0};
    Milliseconds loadTime{200};
};

/// Stands in for a model engine: continuous batching over a fixed number of slots, admitted in
/// arrival order whatever the class, with a prompt prefix cache in limited memory.
///
/// The text is a function of the prompt, so that answers can be checked by their content. A prompt
/// that contains the crash marker ends the process. `resume_from` skips tokens already made.
/// Paths: `POST /v1/completions`, `POST /v1/chat/completions`, `POST /cancel/ID`, `GET /load`,
/// `POST /orders`, `GET /stats`.
class EngineStandin
{
public:
    explicit EngineStandin(EngineSettings settings);
    void handle(HttpExchange &exchange);

    /// Returns token number `index` of the answer to a prompt.
    static std::string tokenText(std::string_view prompt, std::uint64_t index);

private:
    struct Stream
    {
        std::string id;
        bool isAdmitted = false;
        bool isCancelled = false;
        /// Wakes a running stream, of which there may be thousands, alone.
        boost::fibers::condition_variable cancelled;
    };
    struct Job
    {
        std::string model;
        std::string prompt;
        std::uint64_t tokens = 0;
        std::uint64_t resumeFrom = 0;
        bool isChat = false;
        bool isStreamed = false;
    };
    using StreamPointer = std::shared_ptr<Stream>;

    void complete(HttpExchange &exchange, bool isChat);
    Result<Job> parseJob(HttpExchange &exchange, bool isChat);
    bool waitForSlot(const StreamPointer &stream);
    void releaseSlot(const StreamPointer &stream);
    void generate(HttpExchange &exchange, const Job &job, const StreamPointer &stream);
    bool pauseFor(const StreamPointer &stream, Duration duration);
    Duration prefill(const Job &job);
    Duration tokenTime();
    void cancel(HttpExchange &exchange, const std::string &id);
    void showLoad(HttpExchange &exchange);
    void takeOrder(HttpExchange &exchange);
    void loadModel(HttpExchange &exchange, const std::string &model);
    [[nodiscard]] bool managesModels() const { return !m_settings.weightStore.address.empty(); }
    void showStats(HttpExchange &exchange);

    EngineSettings m_settings;
    boost::fibers::mutex m_mutex;
    /// Wakes the streams that wait for a slot.
    boost::fibers::condition_variable m_changed;
    std::deque<StreamPointer> m_waiting;
    std::map<std::string, StreamPointer> m_streams;
    std::size_t m_running = 0;
    std::list<std::uint64_t> m_cacheOrder;
    std::map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cache;
    TimePoint m_loadSampledAt;
    std::string m_loadSample;
    std::int64_t m_highestFencing = 0;
    std::int64_t m_staleOrders = 0;
    std::string m_model;
    std::uint64_t m_loads = 0;
    std::uint64_t m_wrongModel = 0;
    TimePoint m_startedAt;
    std::int64_t m_busyMicroseconds = 0;
    std::uint64_t m_executions = 0;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_cancels = 0;
    std::uint64_t m_cachedWords = 0;
    std::uint64_t m_promptWords = 0;
};

} // namespace Radishplank
