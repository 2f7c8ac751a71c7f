#include "Calls/IntentLedger.h"

#include "Core/Assert.h"
#include "Records/IdJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace firefly {

FoldResult IntentLedger::apply(Offset offset, const CallIntended &record)
{
    const CallKey key{record.customer, record.key};
    if (const CallIntent *winner = find(key)) {
        return winner->bodyHash == record.bodyHash ? FoldResult::Duplicate : FoldResult::Conflict;
    }
    if (record.key.empty() || record.key.size() > MaxKeyBytes
        || !evictUntilFits(offset, key, 1, 0)) {
        return FoldResult::Invalid;
    }
    add(key, CallIntent{record.entry, record.writer, record.request, record.bodyHash, offset});
    return FoldResult::Accepted;
}

FoldResult IntentLedger::apply(Offset offset, const CallConcluded &record)
{
    const CallKey key{record.customer, record.key};
    const auto it = m_intents.find(key);
    if (it == m_intents.end()) {
        return FoldResult::Invalid;
    }
    if (it->second.request != record.request) {
        return FoldResult::Stale;
    }
    if (it->second.outcome) {
        return FoldResult::Duplicate;
    }
    if (record.outcome == Outcome::NotRun) {
        erase(key);
        return FoldResult::Accepted;
    }
    const bool fits = evictUntilFits(offset, key, 0, record.answer.size());
    it->second.outcome = fits ? record.outcome : Outcome::Unknown;
    it->second.answer = fits ? record.answer : std::string();
    m_answerBytes += it->second.answer.size();
    return FoldResult::Accepted;
}

const CallIntent *IntentLedger::find(const CallKey &key) const
{
    const auto it = m_intents.find(key);
    return it == m_intents.end() ? nullptr : &it->second;
}

bool IntentLedger::evictUntilFits(Offset offset, const CallKey &protectedKey, std::size_t moreKeys,
                                  std::size_t moreBytes)
{
    while (isOverLimits(moreKeys, moreBytes)) {
        const auto oldest = m_keysByOffset.begin();
        if (oldest == m_keysByOffset.end() || oldest->second == protectedKey
            || oldest->first + m_limits.minRetention >= offset) {
            return false;
        }
        erase(CallKey(oldest->second));
    }
    return true;
}

bool IntentLedger::isOverLimits(std::size_t moreKeys, std::size_t moreBytes) const
{
    return m_intents.size() + moreKeys > m_limits.maxKeys
           || m_answerBytes + moreBytes > m_limits.maxAnswerBytes;
}

void IntentLedger::add(const CallKey &key, CallIntent intent)
{
    m_keysByOffset.emplace(intent.intendedAt, key);
    m_answerBytes += intent.answer.size();
    const bool isNew = m_intents.emplace(key, std::move(intent)).second;
    FIREFLY_ASSERT(isNew, "a key has one winning intent");
}

void IntentLedger::erase(const CallKey &key)
{
    const auto it = m_intents.find(key);
    FIREFLY_ASSERT(it != m_intents.end(), "only a stored key is erased");
    m_answerBytes -= it->second.answer.size();
    m_keysByOffset.erase(it->second.intendedAt);
    m_intents.erase(it);
}

nlohmann::json IntentLedger::dump() const
{
    const auto isOpen = [](const auto &it) { return !it.second.outcome.has_value(); };
    const auto open = std::count_if(m_intents.begin(), m_intents.end(), isOpen);
    return {{"keys", m_intents.size()}, {"inProgress", open}, {"answerBytes", m_answerBytes}};
}

nlohmann::json IntentLedger::save() const
{
    nlohmann::json keys = nlohmann::json::array();
    for (const auto &[offset, key] : m_keysByOffset) {
        const CallIntent &intent = m_intents.at(key);
        nlohmann::json json = {{"customer", key.customer},
                               {"key", key.key},
                               {"entry", intent.entry},
                               {"writer", intent.writer},
                               {"request", intent.request},
                               {"bodyHash", intent.bodyHash},
                               {"at", offset}};
        if (intent.outcome) {
            json["outcome"] = static_cast<int>(*intent.outcome);
            json["answer"] = intent.answer;
        }
        keys.push_back(std::move(json));
    }
    return {{"keys", std::move(keys)}};
}

void IntentLedger::load(const nlohmann::json &json)
{
    m_intents.clear();
    m_keysByOffset.clear();
    m_answerBytes = 0;
    for (const auto &it : json.at("keys")) {
        CallIntent intent;
        it.at("entry").get_to(intent.entry);
        it.at("writer").get_to(intent.writer);
        it.at("request").get_to(intent.request);
        it.at("bodyHash").get_to(intent.bodyHash);
        it.at("at").get_to(intent.intendedAt);
        if (it.contains("outcome")) {
            intent.outcome = static_cast<Outcome>(it.at("outcome").get<int>());
            it.at("answer").get_to(intent.answer);
        }
        add({it.at("customer").get<CustomerId>(), it.at("key").get<std::string>()},
            std::move(intent));
    }
}

} // namespace firefly
