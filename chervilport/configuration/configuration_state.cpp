#include "chervilport/configuration/configuration_state.h"

#include "chervilport/configuration/environment_document.h"
#include "chervilport/configuration/guarantee_proof.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace chervilport {

namespace {

    constexpr std::size_t maxOperationKeyBytes = 128;

    configuration_result failure(error_kind kind, std::string message)
    {
        configuration_result result;
        result.error = kind;
        result.message = std::move(message);
        return result;
    }

    void appendPart(std::string& text, std::string_view part)
    {
        text += std::to_string(part.size()) + ':';
        text += part;
    }

    /// Returns the hash of a command. Excludes capacity and arrival time, which differ when a retry reaches another
    /// instance.
    std::uint64_t contentHash(const configuration_command& command)
    {
        std::string text;
        appendPart(text, command.operatorName);
        appendPart(text, std::to_string(command.action.index()));
        if (const auto* put = std::get_if<put_trial>(&command.action)) {
            appendPart(text, std::to_string(put->expectedVersion));
            appendPart(text, put->document);
        } else if (const auto* prove = std::get_if<prove_trial>(&command.action)) {
            appendPart(text, std::to_string(prove->version));
        } else if (const auto* promote = std::get_if<promote_trial>(&command.action)) {
            appendPart(text, std::to_string(promote->version));
            appendPart(text, std::to_string(promote->hash));
        }
        return documentHash(text);
    }

    void removeOldOperations(configuration_state& state, log_time now)
    {
        auto& operations = state.operations;
        while (!operations.empty()
            && (operations.size() > maxOperationRecords || operations.front().completedAt + operationRetention <= now))
            operations.pop_front();
    }

    void record(configuration_state& state, configuration_step step, const configuration_command& command,
        std::vector<document_difference> differences)
    {
        state.history.push_back({ step, state.trial->version, state.trial->hash, command.operatorName,
            command.arrivedUnixMs, std::move(differences) });
        if (state.history.size() > maxHistoryChanges)
            state.history.pop_front();
    }

    std::string_view documentOf(const std::optional<configuration_version>& version)
    {
        return version ? std::string_view(version->document) : std::string_view();
    }

    /// Returns a conflict unless `version` is in trial.
    std::optional<configuration_result> conflictWithTrial(const configuration_state& state, std::uint64_t version)
    {
        const auto current = state.trial ? state.trial->version : 0;
        if (version == current)
            return std::nullopt;
        return failure(error_kind::VersionConflict,
            "version " + std::to_string(current) + " is in trial, not " + std::to_string(version));
    }

    configuration_result apply(
        configuration_state& state, const configuration_command& command, const put_trial& action)
    {
        if (action.document.size() > maxDocumentBytes)
            return failure(error_kind::TooLarge, "the document exceeds " + std::to_string(maxDocumentBytes) + " bytes");
        auto differences = documentDifferences(documentOf(state.trial), action.document, maxDifferences);
        if (auto conflict = conflictWithTrial(state, action.expectedVersion)) {
            conflict->differences = std::move(differences);
            return *conflict;
        }
        auto parsed = parseEnvironment(action.document);
        if (!parsed.config) {
            auto result = failure(error_kind::InvalidRequest, "the document is not valid");
            result.problems = std::move(parsed.problems);
            return result;
        }
        state.trial = configuration_version { ++state.lastVersion, documentHash(action.document), action.document };
        state.trialProven = false;
        record(state, configuration_step::Put, command, std::move(differences));
        return {};
    }

    configuration_result apply(
        configuration_state& state, const configuration_command& command, const prove_trial& action)
    {
        if (!state.trial)
            return failure(error_kind::NotFound, "no document is in trial");
        if (const auto conflict = conflictWithTrial(state, action.version))
            return *conflict;
        const auto parsed = parseEnvironment(state.trial->document);
        auto problems = parsed.config ? proveGuarantees(*parsed.config, action.capacity) : parsed.problems;
        if (!problems.empty()) {
            const auto values = documentValues(state.trial->document);
            for (auto& problem : problems) {
                const auto parent = problem.key.substr(0, problem.key.rfind('.'));
                const auto line = lineOf(values, problem.key);
                problem.line = line > 0 ? line : lineOf(values, parent);
            }
            std::stable_sort(problems.begin(), problems.end(),
                [](const config_problem& left, const config_problem& right) { return left.line < right.line; });
            // A version whose latest proof failed must not be promoted.
            state.trialProven = false;
            auto result = failure(error_kind::Infeasible, "the guarantees cannot be kept");
            result.problems = std::move(problems);
            return result;
        }
        if (!std::exchange(state.trialProven, true))
            record(state, configuration_step::Proven, command, {});
        return {};
    }

    configuration_result apply(
        configuration_state& state, const configuration_command& command, const promote_trial& action)
    {
        if (!state.trial)
            return failure(error_kind::NotFound, "no document is in trial");
        if (const auto conflict = conflictWithTrial(state, action.version))
            return *conflict;
        if (action.hash != state.trial->hash)
            return failure(error_kind::VersionConflict, "the hash is not that of the document in trial");
        if (state.production && state.production->version == action.version)
            return {};
        if (!state.trialProven)
            return failure(error_kind::InvalidRequest, "version " + std::to_string(action.version) + " is not proven");
        auto differences = documentDifferences(documentOf(state.production), state.trial->document, maxDifferences);
        state.production = state.trial;
        record(state, configuration_step::Promoted, command, std::move(differences));
        return {};
    }

} // namespace

configuration_result applyCommand(configuration_state& state, const configuration_command& command, log_time now)
{
    if (command.operationKey.empty() || command.operationKey.size() > maxOperationKeyBytes)
        return failure(error_kind::InvalidRequest,
            "the operation key has to have 1 to " + std::to_string(maxOperationKeyBytes) + " bytes");
    removeOldOperations(state, now);

    // A retry gets the first result.
    const auto content = contentHash(command);
    const auto known = std::find_if(state.operations.begin(), state.operations.end(),
        [&command](const operation_record& operation) { return operation.key == command.operationKey; });
    if (known != state.operations.end()) {
        if (known->contentHash == content)
            return known->result;
        return failure(error_kind::KeyReused, "the operation key was used for another command");
    }

    auto result = std::visit([&](const auto& action) { return apply(state, command, action); }, command.action);
    result.trialVersion = state.trial ? state.trial->version : 0;
    result.trialHash = state.trial ? state.trial->hash : 0;
    result.productionVersion = state.production ? state.production->version : 0;
    state.operations.push_back({ command.operationKey, content, now, result });
    removeOldOperations(state, now);
    return result;
}

std::uint64_t documentHash(std::string_view document) { return XXH3_64bits(document.data(), document.size()); }

} // namespace chervilport
