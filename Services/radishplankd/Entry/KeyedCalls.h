#pragma once

#include "Entry/CallRunner.h"

namespace Radishplank {

/// Store prefix for the records of calls with an idempotency key.
inline constexpr std::string_view callPrefix = "calls/";

/// Runs non-idempotent calls that carry an idempotency key.
///
/// Before a call is sent to an upstream, its attempt and upstream are recorded in the store. If the
/// same key arrives again at any entry process, that process looks up the first attempt or its
/// answer and never starts a second one. If neither can be found, the outcome is reported as
/// unknown.
class KeyedCalls
{
public:
    KeyedCalls(EntryContext &context, CallRunner &runner)
        : m_context(context)
        , m_runner(runner)
    {
    }

    CallResult run(const CallSpec &spec, const std::string &key);

private:
    enum class State { Started, Finished, NotRun };
    struct Record
    {
        State state = State::Started;
        std::string fingerprint;
        AttemptId attempt;
        UpstreamId upstream;
        AnswerMessage answer;
        Version version = noVersion;
    };

    Result<Record> read(const std::string &objectKey);
    Result<Version> write(const std::string &objectKey, const Record &record);
    CallResult begin(const CallSpec &spec, const std::string &objectKey, Record record);
    CallResult resolveFirstAttempt(const CallSpec &spec, const std::string &objectKey,
                                   Record record);
    CallResult finish(const std::string &objectKey, Record record, const AttemptResult &result);

    EntryContext &m_context;
    CallRunner &m_runner;
};

} // namespace Radishplank
