#pragma once

#include "chervilport/scheduling/event.h"
#include "chervilport/scheduling/field_archive.h"
#include "chervilport/scheduling/job_state.h"

#include <array>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <type_traits>
#include <utility>
#include <vector>

/// Field lists of the types that are written to the log and to snapshots. `archive` is a field_writer or a
/// field_reader; the order of the fields is the format.
namespace chervilport {

template <typename Archive, typename Number>
requires std::is_integral_v<Number>
void visitFields(Archive& archive, Number& value)
{
    auto wide = static_cast<std::int64_t>(value);
    archive.number(wide);
    // A 64-bit unsigned number is stored as the signed number with the same bits.
    if constexpr (sizeof(Number) < sizeof(wide))
        if (wide < static_cast<std::int64_t>(std::numeric_limits<Number>::min())
            || wide > static_cast<std::int64_t>(std::numeric_limits<Number>::max()))
            throwDecodeError("number " + std::to_string(wide) + " is out of range");
    value = static_cast<Number>(wide);
}

/// Visits an enumeration whose last enumerator is given.
template <typename Archive, typename Enumeration>
void visitEnumeration(Archive& archive, Enumeration& value, Enumeration last)
{
    auto wide = static_cast<std::int64_t>(value);
    archive.number(wide);
    if (wide < 0 || wide > static_cast<std::int64_t>(last))
        throwDecodeError("enumerator " + std::to_string(wide) + " is out of range");
    value = static_cast<Enumeration>(wide);
}

template <typename Archive> void visitFields(Archive& archive, std::string& value) { archive.text(value); }

template <typename Archive> void visitFields(Archive& archive, job_id& value)
{
    auto wide = static_cast<std::int64_t>(value);
    archive.number(wide);
    value = static_cast<job_id>(wide);
}

template <typename Archive> void visitFields(Archive& archive, log_duration& value)
{
    auto wide = static_cast<std::int64_t>(value.count());
    archive.number(wide);
    value = log_duration(wide);
}

template <typename Archive> void visitFields(Archive& archive, log_time& value)
{
    auto wide = static_cast<std::int64_t>(value.time_since_epoch().count());
    archive.number(wide);
    value = log_time(log_duration(wide));
}

template <typename Archive> void visitFields(Archive& archive, adjacency& value)
{
    visitEnumeration(archive, value, adjacency::Worker);
}

template <typename Archive> void visitFields(Archive& archive, job_class& value)
{
    visitEnumeration(archive, value, job_class::Batch);
}

template <typename Archive> void visitFields(Archive& archive, job_state& value)
{
    visitEnumeration(archive, value, job_state::Infeasible);
}

template <typename Archive, typename Value> void visitFields(Archive& archive, std::optional<Value>& value)
{
    auto present = value.has_value();
    visitFields(archive, present);
    if (!present) {
        value.reset();
        return;
    }
    if (!value)
        value.emplace();
    visitFields(archive, *value);
}

template <typename Archive, typename First, typename Second>
void visitFields(Archive& archive, std::pair<First, Second>& value)
{
    visitFields(archive, value.first);
    visitFields(archive, value.second);
}

template <typename Archive, typename Sequence>
requires requires(Sequence& sequence)
{
    sequence.resize(0);
} &&(!std::is_same_v<Sequence, std::string>)void visitFields(Archive& archive, Sequence& values)
{
    values.resize(archive.size(values.size()));
    for (auto& value : values)
        visitFields(archive, value);
}

template <typename Archive, typename Value, std::size_t Size>
void visitFields(Archive& archive, std::array<Value, Size>& values)
{
    for (auto& value : values)
        visitFields(archive, value);
}

template <typename Archive, typename Key, typename Value>
void visitFields(Archive& archive, std::map<Key, Value>& values)
{
    const auto count = archive.size(values.size());
    if constexpr (std::is_same_v<Archive, field_writer>) {
        for (auto& [key, value] : values) {
            auto copy = key;
            visitFields(archive, copy);
            visitFields(archive, value);
        }
        return;
    }
    values.clear();
    for (std::size_t i = 0; i < count; ++i) {
        std::pair<Key, Value> entry;
        visitFields(archive, entry);
        values.insert(std::move(entry));
    }
}

template <typename Archive> void visitFields(Archive& archive, resources& value)
{
    visitFields(archive, value.accelerators);
    visitFields(archive, value.millicores);
    visitFields(archive, value.memoryMb);
}

template <typename Archive> void visitFields(Archive& archive, job_spec& value)
{
    visitFields(archive, value.workspace);
    visitFields(archive, value.team);
    visitFields(archive, value.kind);
    visitFields(archive, value.clientKey);
    visitFields(archive, value.payload);
    visitFields(archive, value.jobClass);
    visitFields(archive, value.taskCount);
    visitFields(archive, value.perTask);
    visitFields(archive, value.placement);
    visitFields(archive, value.declaredRunTime);
    visitFields(archive, value.deadline);
    visitFields(archive, value.preemptible);
    visitFields(archive, value.checkpointable);
}

template <typename Archive> void visitFields(Archive& archive, shape& value)
{
    visitFields(archive, value.count);
    visitFields(archive, value.taskCount);
    visitFields(archive, value.perTask);
    visitFields(archive, value.placement);
}

template <typename Archive> void visitFields(Archive& archive, team_quota& value)
{
    visitFields(archive, value.team);
    visitFields(archive, value.maxAccelerators);
}

template <typename Archive> void visitFields(Archive& archive, workspace_config& value)
{
    visitFields(archive, value.name);
    visitFields(archive, value.guarantee);
    visitFields(archive, value.maxBorrowedAccelerators);
    visitFields(archive, value.teams);
}

template <typename Archive> void visitFields(Archive& archive, policy_config& value)
{
    visitFields(archive, value.fragmentationWeight);
    visitFields(archive, value.startTimeout);
    visitFields(archive, value.stopTimeout);
    visitFields(archive, value.checkpointTimeout);
    visitFields(archive, value.maxAttempts);
}

template <typename Archive> void visitFields(Archive& archive, task_id& value)
{
    visitFields(archive, value.job);
    visitFields(archive, value.attempt);
    visitFields(archive, value.rank);
}

template <typename Archive> void visitFields(Archive& archive, configuration_changed& value)
{
    visitFields(archive, value.version);
    visitFields(archive, value.workspaces);
    visitFields(archive, value.policy);
}

} // namespace chervilport
