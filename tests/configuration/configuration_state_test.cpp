#include "chervilport/configuration/configuration_codec.h"
#include "chervilport/core/chervilport_error.h"
#include "tests/configuration/sample_document.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

constexpr log_time now { 1h };

configuration_command put(const std::string& key, std::uint64_t expected, const std::string& document)
{
    return { key, "ada", 1'000, put_trial { expected, document } };
}

configuration_command prove(const std::string& key, std::uint64_t version)
{
    return { key, "ada", 2'000, prove_trial { version, sampleCapacity() } };
}

configuration_command promote(const std::string& key, std::uint64_t version, std::uint64_t hash)
{
    return { key, "grace", 3'000, promote_trial { version, hash } };
}

/// Generates a command with few distinct keys, versions and documents, so that conflicts and retries are frequent.
rc::Gen<configuration_command> arbitraryCommand()
{
    return rc::gen::exec([] {
        const auto key = "key-" + std::to_string(*rc::gen::inRange(0, 30));
        const auto version = static_cast<std::uint64_t>(*rc::gen::inRange(0, 6));
        const auto document = sampleDocument(*rc::gen::inRange(0, 4));
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            return put(key, version, document);
        case 1:
            return prove(key, version);
        default:
            return promote(key, version, documentHash(document));
        }
    });
}

} // namespace

// Guards against a promotion of an unproven version, and against a change in the history without its operator.
Test(configurationState, putProvePromote)
{
    configuration_state state;
    cr_assert(applyCommand(state, put("a", 0, sampleDocument()), now).error == std::nullopt);
    const auto hash = state.trial->hash;
    cr_assert(applyCommand(state, promote("b", 1, hash), now).error == error_kind::InvalidRequest);
    cr_assert(applyCommand(state, prove("c", 1), now).error == std::nullopt);
    cr_assert(applyCommand(state, promote("d", 1, hash + 1), now).error == error_kind::VersionConflict);
    cr_assert(applyCommand(state, promote("e", 2, hash), now).error == error_kind::VersionConflict);
    const auto result = applyCommand(state, promote("f", 1, hash), now);
    cr_assert(result.error == std::nullopt);
    cr_assert_eq(result.productionVersion, 1);
    cr_assert_eq(state.production->document, sampleDocument());

    cr_assert(applyCommand(state, put("g", 1, sampleDocument(1)), now).error == std::nullopt);
    cr_assert(
        applyCommand(state, promote("h", 2, documentHash(sampleDocument(1))), now).error == error_kind::InvalidRequest,
        "the proof of the previous version must not count");
    cr_assert_eq(state.history.size(), 4);
    cr_assert_eq(state.history[2].operatorName, "grace");
    const std::vector<document_difference> expected { { "workspace.rosters.domain.seattle.guarantee.0.count", "2",
        "1" } };
    cr_assert(state.history[3].differences == expected);
}

// Guards against two operators who put a document under the same expected version: the second one must not overwrite
// the first, and must receive the differences.
Test(configurationState, secondPutUnderOneVersionConflicts)
{
    configuration_state state;
    applyCommand(state, put("a", 0, sampleDocument()), now);
    const auto result = applyCommand(state, put("b", 0, sampleDocument(1)), now);
    cr_assert(result.error == error_kind::VersionConflict);
    cr_assert_eq(result.trialVersion, 1);
    cr_assert_eq(result.trialHash, documentHash(sampleDocument()));
    cr_assert_eq(result.differences.size(), 1);
    cr_assert_eq(result.differences.front().before, "2");
    cr_assert_eq(result.differences.front().after, "1");
    cr_assert_eq(state.trial->document, sampleDocument());
}

// Guards against a retry after a lost response that conflicts with its own first attempt, and against a key that is
// reused for a different command.
Test(configurationState, retryGetsTheFirstResult)
{
    configuration_state state;
    const auto first = applyCommand(state, put("a", 0, sampleDocument()), now);
    applyCommand(state, put("b", 1, sampleDocument(1)), now);
    auto resent = put("a", 0, sampleDocument());
    resent.arrivedUnixMs += 500;
    cr_assert(applyCommand(state, resent, now + 1min) == first);
    cr_assert_eq(state.trial->version, 2);
    cr_assert(applyCommand(state, put("a", 0, sampleDocument(1)), now).error == error_kind::KeyReused);
    cr_assert(applyCommand(state, put("", 0, ""), now).error == error_kind::InvalidRequest);
}

// Guards against operation records and history that grow without bound.
Test(configurationState, recordsAreBounded)
{
    configuration_state state;
    for (std::size_t i = 0; i <= maxHistoryChanges + 10; ++i)
        applyCommand(state, put("key-" + std::to_string(i), i, sampleDocument(1)), now);
    cr_assert_eq(state.operations.size(), maxOperationRecords);
    cr_assert_eq(state.history.size(), maxHistoryChanges);
    applyCommand(state, put("late", 0, ""), now + operationRetention);
    cr_assert_eq(state.operations.size(), 1);
}

// Guards against a failed proof that does not report line and key, or after which the version can still be promoted.
Test(configurationState, failedProofNamesTheLine)
{
    configuration_state state;
    applyCommand(state, put("a", 0, sampleDocument(3)), now);
    const auto result = applyCommand(state, prove("b", 1), now);
    cr_assert(result.error == error_kind::Infeasible);
    cr_assert_eq(result.problems.size(), 1);
    cr_assert_eq(result.problems.front().line, 17);
    cr_assert_eq(result.problems.front().key, "workspace.rosters.domain.seattle.guarantee.0.count");
    cr_assert(applyCommand(state, promote("c", 1, state.trial->hash), now).error == error_kind::InvalidRequest);

    applyCommand(state, put("e", 1, sampleDocument()), now);
    applyCommand(state, prove("f", 2), now);
    auto withoutWorkers = prove("g", 2);
    std::get<prove_trial>(withoutWorkers.action).capacity.clear();
    cr_assert(applyCommand(state, withoutWorkers, now).error == error_kind::Infeasible);
    cr_assert(applyCommand(state, promote("h", 2, state.trial->hash), now).error == error_kind::InvalidRequest);
    cr_assert(
        applyCommand(state, put("d", 1, std::string(maxDocumentBytes + 1, '#')), now).error == error_kind::TooLarge);
}

// Guards against a corrupt payload that is decoded as a command or state.
Test(configurationCodec, damagedBytesAreRefused)
{
    const auto bytes = encodeCommand(put("a", 0, "x = \"\xff\""));
    cr_assert_eq(std::get<put_trial>(decodeCommand(bytes).action).document, "x = \"\xff\"");
    for (const auto& damaged : { bytes.substr(1), bytes.substr(0, bytes.size() - 1), std::string() }) {
        cr_assert_throw(decodeCommand(damaged), chervilport_error);
        cr_assert_throw(decodeConfigurationState(damaged), chervilport_error);
    }
}

// Guards against decreasing versions, a promotion of an unproven document, different results under one key, and
// replicas that diverge after a replay or a snapshot.
Test(configurationState, anySequencePreservesInvariants)
{
    cr_assert(rc::check([] {
        const auto sequence = *rc::gen::container<std::vector<configuration_command>>(arbitraryCommand());
        configuration_state state;
        configuration_state replica;
        std::map<std::string, std::pair<std::string, configuration_result>> first;
        std::uint64_t production = 0;
        std::uint64_t trial = 0;
        log_time time = now;
        for (const auto& command : sequence) {
            time += 1s;
            const bool proven = state.trialProven;
            const auto result = applyCommand(state, command, time);
            RC_ASSERT(result == applyCommand(replica, decodeCommand(encodeCommand(command)), time));
            replica = decodeConfigurationState(encodeConfigurationState(replica));

            const auto nowInProduction = state.production ? state.production->version : 0;
            RC_ASSERT(nowInProduction >= production);
            RC_ASSERT(nowInProduction == production || (proven && state.production == state.trial));
            production = nowInProduction;
            RC_ASSERT(state.lastVersion >= trial && state.lastVersion <= trial + 1);
            trial = state.lastVersion;

            const auto [known, added] = first.try_emplace(command.operationKey, encodeCommand(command), result);
            if (!added && known->second.first == encodeCommand(command))
                RC_ASSERT(result == known->second.second);
            else if (!added)
                RC_ASSERT(result.error == error_kind::KeyReused);
        }
        RC_ASSERT(encodeConfigurationState(replica) == encodeConfigurationState(state));
    }));
}
