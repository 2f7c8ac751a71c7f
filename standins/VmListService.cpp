#include "VmListService.h"

#include "Adapters/WorkerJson.h"

#include <algorithm>

namespace firefly::standins {
namespace {

constexpr const char *VmKinds[] = {"workers", "entries"};

nlohmann::json *findVm(nlohmann::json &vms, const nlohmann::json &id)
{
    const auto it = std::ranges::find_if(vms, [&id](const auto &vm) { return vm["id"] == id; });
    return it == vms.end() ? nullptr : &*it;
}

/// Inserts the VMs of \a changes into \a list; replaces those with the same id.
void mergeVms(nlohmann::json &list, const nlohmann::json &changes)
{
    for (const char *kind : VmKinds) {
        for (const auto &vm : changes.value(kind, nlohmann::json::array())) {
            if (auto *existing = findVm(list[kind], vm.at("id"))) {
                *existing = vm;
            } else {
                list[kind].push_back(vm);
            }
        }
    }
}

} // namespace

VmListService::VmListService(Duration lag)
    : m_lag(lag)
{
    m_versions.emplace_back(TimePoint{}, VmList{});
}

const nlohmann::json &VmListService::visibleList(TimePoint now)
{
    while (m_versions.size() > 1 && m_versions[1].first + m_lag <= now) {
        m_versions.pop_front();
    }
    return m_versions.front().second;
}

/// Applies \a request to \a list; returns false if its method, path or VM is unknown.
bool VmListService::applyChange(const ServerRequest &request, nlohmann::json &list) const
{
    const std::string newState = request.path.size() == 3 ? request.path[2] : "";
    if (request.path.size() == 1) {
        if (request.method == "PUT") {
            list = VmList{};
        }
        mergeVms(list, nlohmann::json::parse(request.body));
        list = list.get<VmList>(); // Throws if a reader could not parse the list.
        return request.method == "PUT" || request.method == "POST";
    }
    for (const char *kind : VmKinds) {
        auto *vm = findVm(list[kind], request.path[1]);
        if (vm == nullptr) {
            continue;
        }
        if (request.method == "DELETE" && newState.empty()) {
            list[kind].erase(static_cast<std::size_t>(vm - &list[kind][0]));
            return true;
        }
        (*vm)["state"] = newState;
        return request.method == "POST" && (newState == "leaving" || newState == "live");
    }
    return false;
}

void VmListService::handle(const ServerRequest &request, const Responder &responder)
{
    const std::string root = request.path.empty() ? "" : request.path.front();
    if (root == "faults" && request.method == "POST") {
        const auto json = nlohmann::json::parse(request.body);
        m_hasOutage = json.value("outage", m_hasOutage);
        m_lag = Duration(1000 * json.value("lagMs", m_lag.count() / 1000));
        responder.reply(200, {{"ok", true}});
        return;
    }
    if (root == "vms" && request.method == "GET") {
        const bool isCurrent = request.parameter("current") == "1";
        const auto &list = isCurrent ? m_versions.back().second : visibleList(Clock::now());
        responder.reply(m_hasOutage ? 503 : 200, m_hasOutage ? nlohmann::json::object() : list);
        return;
    }
    nlohmann::json list = m_versions.back().second;
    if (root != "vms" || !applyChange(request, list)) {
        responder.reply(404, {{"error", "no such path"}});
        return;
    }
    m_versions.emplace_back(Clock::now(), std::move(list));
    responder.reply(200, {{"ok", true}});
}

} // namespace firefly::standins
