#include "EngineStandin.h"
#include "FaultProxy.h"
#include "PlatformStandin.h"
#include "ServiceStandin.h"

#include <iostream>
#include <span>

using namespace Radishplank;

namespace {

constexpr std::string_view usage
        = "radishplank-standin platform|engine|service|faultproxy [SETTING...]";

struct StandinSettings
{
    Endpoint listen{"127.0.0.1", 0};
    std::string readyFile;
    std::uint64_t threads = 1;
    EngineSettings engine;
    Milliseconds serviceTime{20};
};

void bindSettings(Settings &settings, StandinSettings &values)
{
    settings.bind(&values.listen, "listen", "ADDRESS:PORT",
                  "Address to listen on; port 0 selects a free port.");
    settings.bind(&values.readyFile, "ready-file", "PATH",
                  "File written when the stand-in accepts requests.");
    settings.bind(&values.engine.slots, "slots", "COUNT",
                  "Engine: maximum number of concurrent streams.");
    settings.bind(&values.engine.tokenInterval, "token-interval", "MILLISECONDS",
                  "Engine: time per token.");
    settings.bind(&values.engine.batchSlopeMicroseconds, "batch-slope", "MICROSECONDS",
                  "Engine: extra time per token for each other running stream.");
    settings.bind(&values.engine.prefillMicroseconds, "prefill", "MICROSECONDS",
                  "Engine: prefill time of one prompt word that is not cached.");
    settings.bind(&values.engine.cacheBlocks, "cache-blocks", "COUNT",
                  "Engine: size of the prefix cache in blocks of 16 words.");
    settings.bind(&values.engine.loadLag, "load-lag", "MILLISECONDS",
                  "Engine: maximum age of the load that it reports.");
    settings.bind(&values.engine.checksFencing, "check-fencing", "true|false",
                  "Engine: reject orders with a stale fencing number.");
    settings.bind(&values.engine.weightStore, "weight-store", "ADDRESS:PORT",
                  "Engine: server of model weights; without it, the engine has every model.");
    settings.bind(&values.engine.loadTime, "load-time", "MILLISECONDS",
                  "Engine: time to load a model.");
    settings.bind(&values.serviceTime, "service-time", "MILLISECONDS", "Service: time per call.");
}

Result<std::unique_ptr<HttpServer>> serve(FiberThreads &threads, const StandinSettings &values,
                                          HttpServer::Handler handler)
{
    auto server = TRY(HttpServer::listen(threads, values.listen, {}, std::move(handler)));
    TRY(writeReadyFile(values.readyFile, {{"http", server->endpoint().text()}}));
    return server;
}

template<typename Standin>
Result<std::unique_ptr<HttpServer>> start(FiberThreads &threads, const StandinSettings &values,
                                          std::shared_ptr<Standin> standin)
{
    return serve(threads, values, [standin](HttpExchange &exchange) { standin->handle(exchange); });
}

Result<std::unique_ptr<HttpServer>> startKind(FiberThreads &threads, std::string_view kind,
                                              const StandinSettings &values)
{
    if (kind == "platform")
        return start(threads, values, std::make_shared<PlatformStandin>());
    if (kind == "engine")
        return start(threads, values, std::make_shared<EngineStandin>(values.engine));
    if (kind == "service")
        return start(threads, values, std::make_shared<ServiceStandin>(values.serviceTime));
    if (kind == "faultproxy")
        return start(threads, values, std::make_shared<FaultProxy>(threads));
    return Error{ErrorKind::InvalidInput, "unknown stand-in '" + std::string(kind) + "'"};
}

} // namespace

int main(int argumentCount, char **arguments)
{
    StandinSettings values;
    Settings settings;
    bindSettings(settings, values);
    const auto parsed
            = settings.parse(std::span(arguments, static_cast<std::size_t>(argumentCount)));
    if (const auto status = settings.reportErrorOrHelp(parsed, usage))
        return *status;
    if (parsed.value().positional.size() != 1) {
        std::cerr << settings.helpText(usage);
        return Settings::usageStatus;
    }
    blockStopSignals();
    FiberThreads threads(values.threads);
    const auto server = startKind(threads, parsed.value().positional.front(), values);
    if (server.isError()) {
        std::cerr << server.error().message << '\n';
        return 1;
    }
    waitForStopSignal();
    exitProcess(0);
}
