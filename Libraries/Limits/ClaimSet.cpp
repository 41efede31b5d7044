#include <Limits/ClaimSet.h>

#include <boost/json.hpp>

namespace Radishplank {

namespace json = boost::json;

std::string serialize(const ClaimSet &claimSet)
{
    json::object claims;
    for (const auto &[node, claim] : claimSet.claims)
        claims[node.text()] = json::object{{"amount", claim.amount}, {"mark", claim.writeId}};
    return json::serialize(json::object{{"claims", std::move(claims)}});
}

Result<ClaimSet> parseClaimSet(std::string_view text)
{
    const Error invalid{ErrorKind::InvalidInput, "a stored sheet of claims is not readable"};
    const auto fields = TRY(parseJsonObject(text));
    const auto *claims = fields.if_contains("claims");
    if (claims == nullptr || !claims->is_object())
        return invalid;
    ClaimSet claimSet;
    for (const auto &[node, value] : claims->as_object()) {
        const auto *claim = value.if_object();
        if (claim == nullptr)
            return invalid;
        claimSet.claims[NodeId(std::string(node))]
                = {integerField(*claim, "amount", 0), textField(*claim, "mark").value_or("")};
    }
    return claimSet;
}

} // namespace Radishplank
