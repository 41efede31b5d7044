#include <Gateway/QuotaMessage.h>

#include <Gateway/QuotaMessage.capnp.h>

#include <capnp/serialize.h>
#include <cstring>
#include <kj/array.h>
#include <kj/exception.h>
#include <optional>

namespace Radishplank {

namespace {

void encode(const QuotaAsk &ask, Rpc::QuotaMessage::Builder builder)
{
    builder.setId(ask.id);
    auto group = builder.initAsk();
    group.setRun(ask.run);
    auto entries = group.initEntries(static_cast<unsigned>(ask.entries.size()));
    for (unsigned i = 0; i < entries.size(); ++i) {
        entries[i].setOwner(ask.entries[i].owner);
        entries[i].setWaiting(ask.entries[i].waiting);
        entries[i].setAhead(ask.entries[i].ahead);
        entries[i].setReturned(ask.entries[i].returned);
        entries[i].setUsed(ask.entries[i].used);
    }
}

void encode(const QuotaGrant &grant, Rpc::QuotaMessage::Builder builder)
{
    builder.setId(grant.id);
    auto entries = builder.initGrant().initEntries(static_cast<unsigned>(grant.entries.size()));
    for (unsigned i = 0; i < entries.size(); ++i) {
        const auto &entry = grant.entries[i];
        entries[i].setOwner(entry.owner);
        entries[i].setGranted(entry.granted);
        entries[i].setRetryAfterMs(static_cast<std::uint32_t>(entry.retryAfter.count()));
        entries[i].setLifetimeMs(static_cast<std::uint32_t>(entry.lifetime.count()));
        entries[i].setHasNoShare(entry.hasNoShare);
    }
}

void encode(const QuotaReceipt &receipt, Rpc::QuotaMessage::Builder builder)
{
    auto group = builder.initReceipt();
    group.setNode(receipt.node);
    group.setAgeMs(static_cast<std::uint64_t>(receipt.age.count()));
}

std::optional<QuotaMessage> decodeReader(Rpc::QuotaMessage::Reader reader)
{
    if (reader.isAsk()) {
        QuotaAsk ask{reader.getAsk().getRun(), reader.getId(), {}};
        for (const auto entry : reader.getAsk().getEntries()) {
            ask.entries.push_back({entry.getOwner(), entry.getWaiting(), entry.getAhead(),
                                   entry.getReturned(), entry.getUsed()});
        }
        return ask;
    }
    if (reader.isReceipt()) {
        const auto receipt = reader.getReceipt();
        return QuotaReceipt{receipt.getNode(), Milliseconds(receipt.getAgeMs())};
    }
    if (!reader.isGrant())
        return {};
    QuotaGrant grant{reader.getId(), {}};
    for (const auto entry : reader.getGrant().getEntries()) {
        grant.entries.push_back({entry.getOwner(), entry.getGranted(),
                                 Milliseconds(entry.getRetryAfterMs()),
                                 Milliseconds(entry.getLifetimeMs()), entry.getHasNoShare()});
    }
    return grant;
}

} // namespace

std::string encodeQuotaMessage(const QuotaMessage &message)
{
    capnp::MallocMessageBuilder builder;
    std::visit([&](const auto &each) { encode(each, builder.initRoot<Rpc::QuotaMessage>()); },
               message);
    const auto words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asBytes();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

Result<QuotaMessage> decodeQuotaMessage(std::string_view bytes)
{
    const Error invalid{ErrorKind::InvalidInput, "the datagram is not a valid quota message"};
    if (bytes.size() % sizeof(capnp::word) != 0)
        return invalid;
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    std::optional<QuotaMessage> message;
    const auto exception = kj::runCatchingExceptions([&] {
        capnp::FlatArrayMessageReader reader(words);
        message = decodeReader(reader.getRoot<Rpc::QuotaMessage>());
    });
    if (exception != nullptr || !message)
        return invalid;
    return *std::move(message);
}

} // namespace Radishplank
