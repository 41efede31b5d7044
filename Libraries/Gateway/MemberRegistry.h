#pragma once

#include <Gateway/PeerTable.h>
#include <Net/Net.h>
#include <Store/Store.h>

#include <boost/json.hpp>
#include <string>

namespace Radishplank {

/// Registers this process in the list of members in the store, and reads the other members once.
/// Processes that join later send their reports to every member in the list.
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

    void start(const NodeId &node, const ZoneName &zone, const Endpoint &datagramEndpoint)
    {
        const auto value = boost::json::serialize(
                boost::json::object{{"zone", zone.text()}, {"datagrams", datagramEndpoint.text()}});
        m_threads.spawnOn(0, [this, key = m_prefix + node.text(), value] {
            // Writes its own entry before reading: of two processes that start together, at least
            // one sees the other.
            write(key, value);
            readOthers();
        });
    }

private:
    static constexpr Milliseconds retryDelay{300};

    /// Overwrites an existing entry: this process is now the one with this node id.
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
            Pause()(retryDelay);
        }
    }

    void readOthers()
    {
        auto listed = listAll(m_store, m_prefix, ListContent::KeysAndValues);
        while (listed.isError()) {
            Pause()(retryDelay);
            listed = listAll(m_store, m_prefix, ListContent::KeysAndValues);
        }
        for (const auto &object : listed.value().objects)
            addMember(object);
        m_peers.noteMembersListed();
    }

    [[nodiscard]] NodeId nodeOf(const StoredObject &object) const
    {
        return NodeId(object.key.substr(m_prefix.size()));
    }

    void addMember(const StoredObject &object)
    {
        const auto fields = parseJsonObject(object.value);
        const auto datagramEndpoint
                = fields.isError()
                          ? Result<Endpoint>(fields.error())
                          : Endpoint::parse(textField(fields.value(), "datagrams").value_or(""));
        if (datagramEndpoint.isError()) {
            logStateChange("member-unreadable",
                           {{"key", object.key}, {"reason", datagramEndpoint.error().message}});
            return;
        }
        m_peers.noteMember(nodeOf(object), ZoneName(textField(fields.value(), "zone").value_or("")),
                           datagramEndpoint.value());
    }

    const std::string m_prefix = "radishplank-members/";
    FiberThreads &m_threads;
    Store &m_store;
    PeerTable &m_peers;
};

} // namespace Radishplank
