#include <Catalogue/CatalogueObjects.h>

#include <algorithm>

namespace Radishplank {

namespace {

constexpr std::size_t digestLength = 64;
constexpr std::int64_t maxDeadlineMilliseconds = 600'000;
constexpr std::int64_t maxCount = 1'000'000'000;

std::string objectPlace(std::string_view prefix, std::string_view name)
{
    return std::string(prefix) + std::string(name);
}

Limits parseLimits(const boost::json::object &object, const std::string &place, Findings &findings)
{
    Limits limits;
    const auto *value = object.if_contains("limits");
    if (value == nullptr)
        return limits;
    if (!value->is_object()) {
        findings.add(place + ".limits", "must be an object");
        return limits;
    }
    JsonReader reader(value->as_object(), place + ".limits", findings);
    reader.rejectUnknownFields(
            {"requestsPerSecond", "burstRequests", "concurrentRequests", "concurrentItems"});
    limits.requestsPerSecond = reader.number("requestsPerSecond", 0);
    limits.burstRequests = reader.number("burstRequests", 0);
    limits.concurrentRequests = reader.integer("concurrentRequests", 0, 0, maxCount);
    limits.concurrentItems = reader.integer("concurrentItems", 0, 0, maxCount);
    return limits;
}

template<typename Choice>
Choice parseChoice(JsonReader &reader, const std::string &place, std::string_view field,
                   std::initializer_list<std::pair<std::string_view, Choice>> choices,
                   Findings &findings)
{
    const auto fallback = choices.begin()->second;
    const auto text = reader.text(field, choices.begin()->first);
    std::string known;
    for (const auto &[name, choice] : choices) {
        if (text == name)
            return choice;
        known += (known.empty() ? "" : ", ") + std::string(name);
    }
    findings.add(place + "." + std::string(field), "'" + text + "' is none of " + known);
    return fallback;
}

std::vector<NonIdempotentCall> parseNonIdempotent(const boost::json::object &object,
                                                  const std::string &place, Findings &findings)
{
    std::vector<NonIdempotentCall> calls;
    const auto *value = object.if_contains("nonIdempotent");
    if (value == nullptr)
        return calls;
    if (!value->is_array()) {
        findings.add(place + ".nonIdempotent", "must be a list");
        return calls;
    }
    std::size_t index = 0;
    for (const auto &element : value->as_array()) {
        const auto elementPlace = place + ".nonIdempotent[" + std::to_string(index++) + "]";
        if (!element.is_object()) {
            findings.add(elementPlace, "must be an object");
            continue;
        }
        JsonReader reader(element.as_object(), elementPlace, findings);
        reader.rejectUnknownFields({"method", "path"});
        calls.push_back({reader.requiredText("method"), reader.requiredText("path")});
    }
    return calls;
}

Endpoint parseEndpointField(JsonReader &reader, const std::string &place, std::string_view field,
                            Findings &findings)
{
    const auto parsed = Endpoint::parse(reader.requiredText(field));
    if (!parsed.isError())
        return parsed.value();
    findings.add(place + "." + std::string(field), parsed.error().message);
    return {};
}

} // namespace

bool Entry::accepts(WorkClass workClass) const
{
    if (entryClass == EntryClass::Any)
        return true;
    return (entryClass == EntryClass::Online) == (workClass == WorkClass::Online);
}

bool Entry::isIdempotent(std::string_view method, std::string_view path) const
{
    return std::none_of(nonIdempotent.begin(), nonIdempotent.end(),
                        [&](const NonIdempotentCall &call) {
                            return call.method == method && path.starts_with(call.path);
                        });
}

Owner parseOwner(const OwnerId &id, const boost::json::object &object, Findings &findings)
{
    const auto place = objectPlace(ownerPrefix, id.text());
    JsonReader reader(object, place, findings);
    reader.rejectUnknownFields({"tokenDigest", "weight", "limits"});
    Owner owner;
    owner.id = id;
    const auto digest = reader.requiredText("tokenDigest");
    const bool isHexadecimal = digest.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!digest.empty() && (digest.size() != digestLength || !isHexadecimal))
        findings.add(place + ".tokenDigest", "must be 64 lower-case hexadecimal digits");
    owner.tokenDigests = {digest};
    owner.weight = reader.number("weight", 1);
    if (owner.weight == 0)
        findings.add(place + ".weight", "must be above 0");
    owner.limits = parseLimits(object, place, findings);
    return owner;
}

Entry parseEntry(const OwnerId &owner, const EntryName &name, const boost::json::object &object,
                 Findings &findings)
{
    const auto place = objectPlace(entryPrefix, owner.text() + "/" + name.text());
    JsonReader reader(object, place, findings);
    reader.rejectUnknownFields({"pool", "kind", "class", "deadlineMs", "limits", "nonIdempotent"});
    Entry entry;
    entry.owner = owner;
    entry.name = name;
    entry.pool = reader.requiredText("pool");
    entry.kind = parseChoice<EntryKind>(
            reader, place, "kind", {{"model", EntryKind::Model}, {"service", EntryKind::Service}},
            findings);
    entry.entryClass = parseChoice<EntryClass>(reader, place, "class",
                                               {{"any", EntryClass::Any},
                                                {"online", EntryClass::Online},
                                                {"batch", EntryClass::Batch}},
                                               findings);
    entry.deadline = Milliseconds(
            reader.integer("deadlineMs", entry.deadline.count(), 1, maxDeadlineMilliseconds));
    entry.limits = parseLimits(object, place, findings);
    entry.nonIdempotent = parseNonIdempotent(object, place, findings);
    return entry;
}

AgentMember parseAgent(const UpstreamId &id, const boost::json::object &object, Findings &findings)
{
    const auto place = objectPlace(agentPrefix, id.text());
    JsonReader reader(object, place, findings);
    AgentMember agent;
    agent.id = id;
    agent.data = parseEndpointField(reader, place, "data", findings);
    agent.control = parseEndpointField(reader, place, "control", findings);
    agent.zone = ZoneName(reader.requiredText("zone"));
    agent.region = RegionName(reader.requiredText("region"));
    agent.pools = reader.texts("pools");
    agent.models = reader.texts("models");
    agent.slots = reader.integer("slots", 1, 1, maxCount);
    agent.state = parseChoice<MemberState>(
            reader, place, "state",
            {{"live", MemberState::Live}, {"leaving", MemberState::Leaving}}, findings);
    return agent;
}

NodeMember parseNode(const NodeId &id, const boost::json::object &object, Findings &findings)
{
    const auto place = objectPlace(nodePrefix, id.text());
    JsonReader reader(object, place, findings);
    NodeMember node;
    node.id = id;
    node.control = parseEndpointField(reader, place, "control", findings);
    node.zone = ZoneName(reader.requiredText("zone"));
    node.region = RegionName(reader.requiredText("region"));
    return node;
}

boost::json::object toJson(const AgentMember &agent)
{
    boost::json::array pools;
    for (const auto &pool : agent.pools)
        pools.emplace_back(pool);
    boost::json::array models;
    for (const auto &model : agent.models)
        models.emplace_back(model);
    return {{"data", agent.data.text()},
            {"control", agent.control.text()},
            {"zone", agent.zone.text()},
            {"region", agent.region.text()},
            {"pools", std::move(pools)},
            {"models", std::move(models)},
            {"slots", agent.slots},
            {"state", agent.state == MemberState::Live ? "live" : "leaving"}};
}

boost::json::object toJson(const NodeMember &node)
{
    return {{"control", node.control.text()},
            {"zone", node.zone.text()},
            {"region", node.region.text()}};
}

Findings checkConfigurationObject(std::string_view key, std::string_view value)
{
    Findings findings;
    const std::string place(key);
    const auto parsed = parseJsonObject(value);
    if (parsed.isError()) {
        findings.add(place, parsed.error().message);
        return findings;
    }
    if (key.starts_with(ownerPrefix)) {
        const std::string name(key.substr(ownerPrefix.size()));
        if (name.empty() || name.find('/') != std::string::npos)
            findings.add(place, "expected owners/OWNER");
        (void)parseOwner(OwnerId(name), parsed.value(), findings);
        return findings;
    }
    if (key.starts_with(entryPrefix)) {
        const std::string names(key.substr(entryPrefix.size()));
        const auto slash = names.find('/');
        const bool isComplete = slash != std::string::npos && slash > 0 && slash + 1 < names.size()
                                && names.find('/', slash + 1) == std::string::npos;
        if (!isComplete) {
            findings.add(place, "expected entries/OWNER/ENTRY");
            return findings;
        }
        (void)parseEntry(OwnerId(names.substr(0, slash)), EntryName(names.substr(slash + 1)),
                         parsed.value(), findings);
        return findings;
    }
    findings.add(place, "expected owners/OWNER or entries/OWNER/ENTRY");
    return findings;
}

} // namespace Radishplank
