#include "VmListService.h"

#include "Adapters/WorkerJson.h"

#include <algorithm>

namespace firefly::standins {
namespace {

constexpr const char *Kinds[] = {"workers", "entries"};

nlohmann::json *find(nlohmann::json &vms, const nlohmann::json &id)
{
    const auto it = std::ranges::find_if(vms, [&id](const auto &vm) { return vm["id"] == id; });
    return it == vms.end() ? nullptr : &*it;
}

/// Adds the VMs of \a changes to \a list or replaces them there.
void merge(nlohmann::json &list, const nlohmann::json &changes)
{
    for (const char *kind : Kinds) {
        for (const auto &vm : changes.value(kind, nlohmann::json::array())) {
            if (auto *known = find(list[kind], vm.at("id"))) {
                *known = vm;
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

const nlohmann::json &VmListService::visible(TimePoint now)
{
    while (m_versions.size() > 1 && m_versions[1].first + m_lag <= now) {
        m_versions.pop_front();
    }
    return m_versions.front().second;
}

/// Applies \a request to \a list; false when it asks for nothing known.
bool VmListService::change(const ServerRequest &request, nlohmann::json &list) const
{
    const std::string verb = request.path.size() == 3 ? request.path[2] : "";
    if (request.path.size() == 1) {
        if (request.method == "PUT") {
            list = VmList{};
        }
        merge(list, nlohmann::json::parse(request.body));
        list = list.get<VmList>(); // Throws for a list that no reader could take.
        return request.method == "PUT" || request.method == "POST";
    }
    for (const char *kind : Kinds) {
        auto *vm = find(list[kind], request.path[1]);
        if (vm == nullptr) {
            continue;
        }
        if (request.method == "DELETE" && verb.empty()) {
            list[kind].erase(static_cast<std::size_t>(vm - &list[kind][0]));
            return true;
        }
        (*vm)["state"] = verb;
        return request.method == "POST" && (verb == "leaving" || verb == "live");
    }
    return false;
}

void VmListService::handle(const ServerRequest &request, const Responder &responder)
{
    const std::string root = request.path.empty() ? "" : request.path.front();
    if (root == "faults" && request.method == "POST") {
        const auto json = nlohmann::json::parse(request.body);
        m_isOut = json.value("outage", m_isOut);
        m_lag = Duration(1000 * json.value("lagMs", m_lag.count() / 1000));
        responder.reply(200, {{"ok", true}});
        return;
    }
    if (root == "vms" && request.method == "GET") {
        const bool isCurrent = request.parameter("current") == "1";
        const auto &list = isCurrent ? m_versions.back().second : visible(Clock::now());
        responder.reply(m_isOut ? 503 : 200, m_isOut ? nlohmann::json::object() : list);
        return;
    }
    nlohmann::json list = m_versions.back().second;
    if (root != "vms" || !change(request, list)) {
        responder.reply(404, {{"error", "no such path"}});
        return;
    }
    m_versions.emplace_back(Clock::now(), std::move(list));
    responder.reply(200, {{"ok", true}});
}

} // namespace firefly::standins
