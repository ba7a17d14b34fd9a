#include "platform/Platform.h"
#include "transport/Transport.h"

#include <nlohmann/json.hpp>

namespace citronspoke::platform {

namespace {

    VmState parseVmState(const std::string& text)
    {
        if (text == "leaving")
            return VmState::Leaving;
        return text == "gone" ? VmState::Gone : VmState::Live;
    }

} // namespace

std::map<TargetId, VmState> readVmList(std::string_view address, Milliseconds limit)
{
    transport::HttpRequest request;
    request.target = std::string(address) + "/v1/vms";
    try {
        const nlohmann::json list = nlohmann::json::parse(transport::callHttp(request, limit).body);
        std::map<TargetId, VmState> states;
        for (const nlohmann::json& vm : list.at("vms"))
            states[TargetId(vm.at("name").get<std::string>())] = parseVmState(vm.at("state"));
        return states;
    } catch (const transport::HttpFailed&) {
        throw StoreUnavailable("VM list read");
    } catch (const nlohmann::json::exception&) {
        throw StoreUnavailable("VM list read");
    }
}

} // namespace citronspoke::platform
