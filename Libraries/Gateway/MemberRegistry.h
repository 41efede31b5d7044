#pragma once

#include <Gateway/PeerTable.h>
#include <Net/Net.h>
#include <Store/Store.h>

#include <boost/json.hpp>
#include <string>

namespace Radishplank {

/// Writes this process into the list of members in the store, and reads the others from it once:
/// whoever comes later reports to all that the list names.
template<ObjectStore Store, typename Pause>
class MemberRegistry
{
public:
    MemberRegistry(FiberThreads &threads, Store &store, PeerTable &peers)
        : m_threads(threads)
        , m_store(store)
        , m_peers(peers)
    {
    }

    void start(const NodeId &node, const ZoneName &zone, const Endpoint &datagrams)
    {
        const auto value = boost::json::serialize(
                boost::json::object{{"zone", zone.text()}, {"datagrams", datagrams.text()}});
        m_threads.spawnOn(0, [this, key = m_prefix + node.text(), value] {
            // First the own entry: of two that start together, one at least sees the other.
            write(key, value);
            readOthers();
        });
    }

private:
    static constexpr Milliseconds retryPause{300};

    /// Whoever wrote the entry before, this process is the one that bears its name now.
    void write(const std::string &key, const std::string &value)
    {
        Version expected = noVersion;
        while (true) {
            const auto written = m_store.put(key, value, expected);
            if (!written.isError())
                return;
            if (written.error().kind == ErrorKind::Conflict) {
                const auto current = m_store.get(key);
                if (!current.isError() && current.value().value == value)
                    return;
                expected = current.isError() ? noVersion : current.value().version;
                continue;
            }
            Pause()(retryPause);
        }
    }

    void readOthers()
    {
        auto listed = listAll(m_store, m_prefix, ListContent::KeysAndValues);
        while (listed.isError()) {
            Pause()(retryPause);
            listed = listAll(m_store, m_prefix, ListContent::KeysAndValues);
        }
        for (const auto &object : listed.value().objects)
            take(object);
        m_peers.noteMembersListed();
    }

    [[nodiscard]] NodeId nodeOf(const StoredObject &object) const
    {
        return NodeId(object.key.substr(m_prefix.size()));
    }

    void take(const StoredObject &object)
    {
        const auto fields = parseJsonObject(object.value);
        const auto datagrams
                = fields.isError()
                          ? Result<Endpoint>(fields.error())
                          : Endpoint::parse(textField(fields.value(), "datagrams").value_or(""));
        if (datagrams.isError()) {
            logStateChange("member-unreadable",
                           {{"key", object.key}, {"reason", datagrams.error().message}});
            return;
        }
        m_peers.noteMember(nodeOf(object), ZoneName(textField(fields.value(), "zone").value_or("")),
                           datagrams.value());
    }

    const std::string m_prefix = "radishplank-members/";
    FiberThreads &m_threads;
    Store &m_store;
    PeerTable &m_peers;
};

} // namespace Radishplank
