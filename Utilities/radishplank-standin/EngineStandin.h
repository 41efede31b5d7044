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
    /// Extra time per token for each other stream in the running batch, in microseconds.
    std::uint64_t batchSlopeMicroseconds = 0;
    /// Prefill time of one prompt word that is not in the prefix cache, in microseconds.
    std::uint64_t prefillMicroseconds = 200;
    std::uint64_t cacheBlocks = 256;
    Milliseconds loadLag{200};
    bool checksFencing = false;
    /// Server of model weights; without an address, the engine has every model.
    Endpoint weightStore{"", 0};
    Milliseconds loadTime{200};
};

/// Simulates a model engine: continuous batching with a fixed number of slots, admission in arrival
/// order regardless of the class, and a prompt prefix cache of limited size.
///
/// The generated text is a function of the prompt, so that tests can check answers by content. A
/// prompt that contains the crash marker ends the process. `resume_from` skips the tokens that have
/// already been generated.
/// Paths: `POST /v1/completions`, `POST /v1/chat/completions`, `POST /cancel/ID`, `GET /load`,
/// `POST /orders`, `GET /stats`.
class EngineStandin
{
public:
    explicit EngineStandin(EngineSettings settings);
    void handle(HttpExchange &exchange);

    /// Returns the token at position `index` of the answer to a prompt.
    static std::string tokenText(std::string_view prompt, std::uint64_t index);

private:
    struct Stream
    {
        std::string id;
        bool isAdmitted = false;
        bool isCancelled = false;
        /// Wakes this stream only, because thousands of streams may be running.
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
    /// Returns false if the stream has been cancelled.
    bool waitUnlessCancelled(const StreamPointer &stream, Duration duration);
    /// Adds the prompt to the prefix cache; returns the prefill time of its uncached words.
    Duration updateCache(const Job &job);
    Duration tokenTime();
    void cancel(HttpExchange &exchange, const std::string &id);
    void showLoad(HttpExchange &exchange);
    void handleOrder(HttpExchange &exchange);
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
