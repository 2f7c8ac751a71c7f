#pragma once

#include "Core/Assert.h"
#include "Core/Id.h"
#include "Jobs/JobLedger.h"
#include "Records/Fold.h"
#include "Records/Record.h"
#include "Recovery/SnapshotCodec.h"
#include "Recovery/WriterSequences.h"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>

namespace firefly {

/// A fold that also needs the terms of shards to judge a record.
template <typename State, typename RecordType, typename Terms>
concept FoldableWithTerms = requires(State &state, Offset offset, const RecordType &record,
                                     const Terms &terms)
{
    {
        state.apply(offset, record, terms)
        } -> std::same_as<FoldVerdict>;
};

/// A fold whose state can go into a snapshot and come back.
///
/// save() gives nlohmann::json; load() takes what save() gave.
template <typename State>
concept Snapshotable = requires(State &state, const State &constState)
{
    state.load(constState.save());
};

/// State of the whole log: folds that each take the record types they know.
///
/// Records come in offset order without a gap.  A record whose writer and sequence number were seen
/// before is a Duplicate and reaches no fold.  A SnapshotPart changes no fold.  Exactly one of
/// \a Folds must offer currentTerm(shard) when another needs the terms of shards.
///
/// Source files that call snapshot() or restore() include nlohmann/json.hpp first.
template <typename... Folds>
class CompositeFold
{
public:
    CompositeFold() = default;
    explicit CompositeFold(Folds... folds) requires(sizeof...(Folds) > 0)
        : m_folds(std::move(folds)...)
    {}

    /// Folds one record; its offset must be applied() + 1.
    FoldVerdict apply(const LoggedEnvelope &logged)
    {
        FIREFLY_ASSERT(logged.offset == m_applied + 1, "records are folded without a gap");
        m_applied = logged.offset;
        if (!m_writers.admit(logged)) {
            return FoldVerdict::Duplicate;
        }
        const auto route = [&](const auto &record) { return this->route(logged.offset, record); };
        return std::visit(route, logged.envelope.record);
    }

    /// Offset of the last record folded; 0 at the start.
    Offset applied() const { return m_applied; }
    /// The part of type \a Fold.
    template <typename Fold>
    const Fold &get() const
    {
        return std::get<Fold>(m_folds);
    }
    const WriterSequences &writers() const { return m_writers; }

    /// The part of type \a Fold, for what it keeps beside the state that the log decides.
    template <typename Fold>
    Fold &part()
    {
        return std::get<Fold>(m_folds);
    }

    /// Current term of \a shard by the one part that knows terms.
    Term currentTerm(const ShardId &shard) const requires((TermSource<Folds> || ...))
    {
        Term term = 0;
        const auto ask = [&](const auto &fold) {
            if constexpr (TermSource<std::decay_t<decltype(fold)>>) {
                term = fold.currentTerm(shard);
            }
        };
        std::apply([&](const auto &...fold) { (ask(fold), ...); }, m_folds);
        return term;
    }

    /// Text of the whole state; two readers at the same offset give the same text.
    std::string snapshot() const
    {
        static_assert((Snapshotable<Folds> && ...), "every part needs save() and load()");
        internal::SnapshotEncoder encoder(m_applied, m_writers);
        std::apply([&](const auto &...fold) { (encoder.add(fold.save()), ...); }, m_folds);
        return encoder.text();
    }

    /// Replaces the whole state by one that snapshot() gave; unchanged when that fails.
    /// \throws SnapshotError
    void restore(std::string_view text)
    {
        const internal::SnapshotDecoder decoder(text, sizeof...(Folds));
        std::size_t index = 0;
        CompositeFold restored = *this;
        const auto load = [&](auto &fold) { fold.load(decoder.part(index++)); };
        std::apply([&](auto &...fold) { (load(fold), ...); }, restored.m_folds);
        restored.m_writers.load(decoder.writers());
        restored.m_applied = decoder.applied();
        *this = std::move(restored);
    }

private:
    template <typename Fold, typename RecordType>
    static constexpr bool accepts()
    {
        return Foldable<Fold, RecordType> || FoldableWithTerms<Fold, RecordType, CompositeFold>;
    }

    template <typename RecordType>
    FoldVerdict route(Offset offset, const RecordType &record)
    {
        constexpr int Takers = (0 + ... + (accepts<Folds, RecordType>() ? 1 : 0));
        static_assert(Takers <= 1, "a record type belongs to one fold");
        if constexpr (std::same_as<RecordType, SnapshotPart>) {
            return FoldVerdict::Accepted;
        }
        FoldVerdict verdict = FoldVerdict::Invalid;
        const auto offer = [&](auto &fold) { offerTo(fold, offset, record, verdict); };
        std::apply([&](auto &...fold) { (offer(fold), ...); }, m_folds);
        return verdict;
    }

    template <typename Fold, typename RecordType>
    void offerTo(Fold &fold, Offset offset, const RecordType &record, FoldVerdict &verdict)
    {
        if constexpr (Foldable<Fold, RecordType>) {
            verdict = fold.apply(offset, record);
        } else if constexpr (FoldableWithTerms<Fold, RecordType, CompositeFold>) {
            verdict = fold.apply(offset, record, *this);
        }
    }

    std::tuple<Folds...> m_folds;
    WriterSequences m_writers;
    Offset m_applied = 0;
};

} // namespace firefly
