#pragma once

#include "Entry/CallRunner.h"

namespace Radishplank {

/// Every such call has a record under this prefix.
inline constexpr std::string_view callPrefix = "calls/";

/// Runs calls that must not be repeated and carry an idempotency key.
///
/// Before a call is handed to an upstream, the store holds which attempt on which upstream it is.
/// So the same key, sent again to any entry process, finds the first attempt or its answer, and
/// never begins another; if neither can be found the fate is said to be unknown.
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
    CallResult findFirst(const CallSpec &spec, const std::string &objectKey, Record record);
    CallResult finish(const std::string &objectKey, Record record, const AttemptResult &result);

    EntryContext &m_context;
    CallRunner &m_runner;
};

} // namespace Radishplank
