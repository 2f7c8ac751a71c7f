#include "VmListService.h"

#include "Adapters/WorkerJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace firefly::standins {
namespace {

template <typename Vm>
void upsert(std::vector<Vm> &list, const std::vector<Vm> &changes)
{
    for (const Vm &vm : changes) {
        const auto it = std::ranges::find(list, vm.id, &Vm::id);
        if (it == list.end()) {
            list.push_back(vm);
        } else {
            *it = vm;
        }
    }
}

template <typename Vm>
void setStateIn(std::vector<Vm> &list, const std::string &id, VmState state)
{
    for (Vm &vm : list) {
        if (vm.id.value() == id) {
            vm.state = state;
        }
    }
}

} // namespace

VmListService::VmListService(Duration lag)
    : m_lag(lag)
{
    m_versions.push_back({});
}

const VmList &VmListService::visible(TimePoint now)
{
    while (m_versions.size() > 1 && m_versions[1].at + m_lag <= now) {
        m_versions.pop_front();
    }
    return m_versions.front().list;
}

void VmListService::replace(VmList list, TimePoint now)
{
    m_versions.push_back({now, std::move(list)});
}

void VmListService::merge(const VmList &changes, TimePoint now)
{
    VmList list = m_versions.back().list;
    upsert(list.workers, changes.workers);
    upsert(list.entries, changes.entries);
    replace(std::move(list), now);
}

void VmListService::remove(const std::string &id, TimePoint now)
{
    VmList list = m_versions.back().list;
    std::erase_if(list.workers, [&id](const auto &vm) { return vm.id.value() == id; });
    std::erase_if(list.entries, [&id](const auto &vm) { return vm.id.value() == id; });
    replace(std::move(list), now);
}

void VmListService::setState(const std::string &id, VmState state, TimePoint now)
{
    VmList list = m_versions.back().list;
    setStateIn(list.workers, id, state);
    setStateIn(list.entries, id, state);
    replace(std::move(list), now);
}

void VmListService::handle(const ServerRequest &request, const Responder &responder)
{
    const TimePoint now = Clock::now();
    const std::string root = request.path.empty() ? "" : request.path.front();
    const bool isOne = root == "vms" && request.path.size() >= 2;
    const std::string verb = request.path.size() == 3 ? request.path[2] : "";
    if (root == "faults" && request.method == "POST") {
        const auto json = nlohmann::json::parse(request.body);
        m_isOut = json.value("outage", m_isOut);
        if (json.contains("lagMs")) {
            m_lag = std::chrono::milliseconds(json["lagMs"].get<std::int64_t>());
        }
    } else if (root == "vms" && request.method == "GET") {
        const bool isCurrent = request.parameter("current") == "1";
        const nlohmann::json list = isCurrent ? m_versions.back().list : visible(now);
        responder.reply(m_isOut ? 503 : 200, m_isOut ? nlohmann::json::object() : list);
        return;
    } else if (root == "vms" && request.method == "PUT") {
        replace(nlohmann::json::parse(request.body).get<VmList>(), now);
    } else if (isOne && request.method == "DELETE") {
        remove(request.path[1], now);
    } else if (isOne && request.method == "POST" && (verb == "leaving" || verb == "live")) {
        setState(request.path[1], verb == "live" ? VmState::Live : VmState::Leaving, now);
    } else if (root == "vms" && !isOne && request.method == "POST") {
        auto json = nlohmann::json::parse(request.body);
        json.emplace("workers", nlohmann::json::array());
        json.emplace("entries", nlohmann::json::array());
        merge(json.get<VmList>(), now);
    } else {
        responder.reply(404, {{"error", "no such path"}});
        return;
    }
    responder.reply(200, {{"ok", true}});
}

} // namespace firefly::standins
