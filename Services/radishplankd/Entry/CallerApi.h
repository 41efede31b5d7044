#pragma once

#include "Entry/CallRunner.h"
#include "Entry/KeyedCalls.h"
#include "Jobs/BatchApi.h"

namespace Radishplank {

/// HTTP API for callers: completions, models, services and batch jobs.
class CallerApi
{
public:
    CallerApi(EntryContext &context, CallRunner &runner, KeyedCalls &keyedCalls, BatchApi &batch);

    void handle(HttpExchange &exchange);

private:
    void handleModel(HttpExchange &exchange, const OwnerId &owner);
    void handleService(HttpExchange &exchange, const OwnerId &owner, const HttpTarget &target);
    void listModels(HttpExchange &exchange, const OwnerId &owner);
    std::optional<OwnerId> authenticate(const HttpRequest &request);
    /// Responds with an error and returns null if the entry is unknown, or of the wrong kind or
    /// class.
    std::shared_ptr<const Entry> findEntry(HttpExchange &exchange, const OwnerId &owner,
                                           const std::string &name, EntryKind kind);
    /// Responds with an error and returns false if the process is about to stop and could not
    /// finish the call.
    bool mayFinish(HttpExchange &exchange, TimePoint deadline);
    bool admit(HttpExchange &exchange, const Entry &entry);
    void release(const Entry &entry);
    /// Runs a service call that the limits have admitted, and releases it from them.
    CallResult runAdmittedService(const HttpRequest &request, const CallSpec &spec);
    CallResult runService(const HttpRequest &request, const CallSpec &spec);
    void runBuffered(HttpExchange &exchange, const CallSpec &spec, bool isChat);
    void runStreamed(HttpExchange &exchange, const CallSpec &spec, bool isChat);

    EntryContext &m_context;
    CallRunner &m_runner;
    KeyedCalls &m_keyedCalls;
    BatchApi &m_batch;
};

} // namespace Radishplank
