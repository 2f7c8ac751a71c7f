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

/// Fold whose apply() also needs the current terms of shards.
template <typename State, typename RecordType, typename Terms>
concept FoldableWithTerms = requires(State &state, Offset offset, const RecordType &record,
                                     const Terms &terms)
{
    {
        state.apply(offset, record, terms)
        } -> std::same_as<FoldResult>;
};

/// Fold whose state can be saved to a snapshot and restored from it.
///
/// save() returns nlohmann::json; load() takes the result of save().
template <typename State>
concept Snapshotable = requires(State &state, const State &constState)
{
    state.load(constState.save());
};

/// State of the whole log: passes each record to the one fold that accepts its type.
///
/// Records are applied in offset order without gaps.  A record whose writer and sequence number
/// were applied before is a Duplicate and reaches no fold.  A SnapshotPart changes no fold.  If any
/// of \a Folds needs the terms of shards, exactly one must provide currentTerm(shard).
///
/// Source files that call snapshot() or restore() must include nlohmann/json.hpp first.
template <typename... Folds>
class CompositeFold
{
public:
    CompositeFold() = default;
    explicit CompositeFold(Folds... folds) requires(sizeof...(Folds) > 0)
        : m_folds(std::move(folds)...)
    {}

    /// Applies one record; its offset must be applied() + 1.
    FoldResult apply(const LoggedEnvelope &logged)
    {
        FIREFLY_ASSERT(logged.offset == m_applied + 1,
                       "records must be applied in offset order without gaps");
        m_applied = logged.offset;
        if (!m_writers.recordIfNew(logged)) {
            return FoldResult::Duplicate;
        }
        const auto dispatch = [&](const auto &record) {
            return this->dispatch(logged.offset, record);
        };
        return std::visit(dispatch, logged.envelope.record);
    }

    /// Offset of the last record applied; 0 before the first.
    Offset applied() const { return m_applied; }
    /// The component of type \a Fold.
    template <typename Fold>
    const Fold &get() const
    {
        return std::get<Fold>(m_folds);
    }
    const WriterSequences &writers() const { return m_writers; }

    /// The component of type \a Fold, to change members that do not derive from the log.
    template <typename Fold>
    Fold &getMutable()
    {
        return std::get<Fold>(m_folds);
    }

    /// Current term of \a shard, from the component that provides terms.
    Term currentTerm(const ShardId &shard) const requires((TermSource<Folds> || ...))
    {
        Term term = 0;
        const auto query = [&](const auto &fold) {
            if constexpr (TermSource<std::decay_t<decltype(fold)>>) {
                term = fold.currentTerm(shard);
            }
        };
        std::apply([&](const auto &...fold) { (query(fold), ...); }, m_folds);
        return term;
    }

    /// Serialized state; readers at the same offset return the same text.
    std::string snapshot() const
    {
        static_assert((Snapshotable<Folds> && ...), "every fold needs save() and load()");
        internal::SnapshotEncoder encoder(m_applied, m_writers);
        std::apply([&](const auto &...fold) { (encoder.add(fold.save()), ...); }, m_folds);
        return encoder.text();
    }

    /// Replaces the state by one that snapshot() returned; leaves it unchanged on failure.
    /// \throws SnapshotError when \a text is malformed or has another format.
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
    FoldResult dispatch(Offset offset, const RecordType &record)
    {
        constexpr int AcceptingFolds = (0 + ... + (accepts<Folds, RecordType>() ? 1 : 0));
        static_assert(AcceptingFolds <= 1, "at most one fold may accept a record type");
        if constexpr (std::same_as<RecordType, SnapshotPart>) {
            return FoldResult::Accepted;
        }
        FoldResult result = FoldResult::Invalid;
        const auto tryFold = [&](auto &fold) { applyIfAccepted(fold, offset, record, result); };
        std::apply([&](auto &...fold) { (tryFold(fold), ...); }, m_folds);
        return result;
    }

    template <typename Fold, typename RecordType>
    void applyIfAccepted(Fold &fold, Offset offset, const RecordType &record, FoldResult &result)
    {
        if constexpr (Foldable<Fold, RecordType>) {
            result = fold.apply(offset, record);
        } else if constexpr (FoldableWithTerms<Fold, RecordType, CompositeFold>) {
            result = fold.apply(offset, record, *this);
        }
    }

    std::tuple<Folds...> m_folds;
    WriterSequences m_writers;
    Offset m_applied = 0;
};

} // namespace firefly
