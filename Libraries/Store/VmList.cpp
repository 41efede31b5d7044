#include <Store/VmList.h>

#include <Core/Json.h>

namespace Radishplank {

Result<std::vector<VmStatus>> readVmList(const Endpoint &platform, Milliseconds timeout)
{
    HttpCallOptions options;
    options.connectTimeout = timeout;
    options.readTimeout = timeout;
    const auto response = TRY(HttpClient::fetch(platform, {"GET", "/vms", {}, ""}, options));
    if (response.status != 200)
        return Error{ErrorKind::Unavailable, "the platform did not return its list of VMs"};
    const auto states = TRY(parseJsonObject(response.body));
    std::vector<VmStatus> vms;
    for (const auto &member : states) {
        VmStatus status{std::string(member.key()), VmState::Live};
        if (member.value() == "leaving")
            status.state = VmState::Leaving;
        else if (member.value() == "gone")
            status.state = VmState::Gone;
        vms.push_back(std::move(status));
    }
    return vms;
}

} // namespace Radishplank
