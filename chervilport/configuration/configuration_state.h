#pragma once

#include "chervilport/configuration/configuration_command.h"
#include "chervilport/configuration/configuration_result.h"
#include "chervilport/core/log_time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport {

/// Maximum size of a document in bytes.
constexpr std::size_t maxDocumentBytes = std::size_t { 256 } * 1024;
/// Maximum number of results kept for retries; covers a day of 600 changes, each with a put, a proof and a promotion.
constexpr std::size_t maxOperationRecords = 2000;
/// Time for which a result is kept for retries.
constexpr log_duration operationRetention = std::chrono::hours(24);
/// Maximum number of changes kept in the history.
constexpr std::size_t maxHistoryChanges = 2000;
/// Maximum number of differences kept for one change, and returned for a conflict.
constexpr std::size_t maxDifferences = 100;

/// A document and its version.
struct configuration_version {
    /// Version number; strictly increasing.
    std::uint64_t version = 0;
    /// Hash of the document.
    std::uint64_t hash = 0;
    /// The document as submitted.
    std::string document;

    friend bool operator==(const configuration_version&, const configuration_version&) = default;
};

/// Step in the life cycle of a version.
enum class configuration_step : std::uint8_t {
    Put,
    Proven,
    Promoted,
};

/// An accepted change.
struct configuration_change {
    /// The step.
    configuration_step step = configuration_step::Put;
    /// Version that the step applies to.
    std::uint64_t version = 0;
    /// Hash of the document.
    std::uint64_t hash = 0;
    /// Name of the operator.
    std::string operatorName;
    /// Wall-clock time of the leader in milliseconds since 1970-01-01 UTC.
    std::int64_t unixMs = 0;
    /// Differences: for a put to the previous document in trial, for a promotion to the previous one in production.
    std::vector<document_difference> differences;

    friend bool operator==(const configuration_change&, const configuration_change&) = default;
};

/// The result of the first command under an operation key.
struct operation_record {
    /// The key.
    std::string key;
    /// Hash of the command, without arrival time and capacity.
    std::uint64_t contentHash = 0;
    /// Log time at which the command was applied.
    log_time completedAt {};
    /// The result.
    configuration_result result;

    friend bool operator==(const operation_record&, const operation_record&) = default;
};

/// State machine of the fleet log: the documents of an environment.
struct configuration_state {
    /// Last version number assigned.
    std::uint64_t lastVersion = 0;
    /// Document in trial.
    std::optional<configuration_version> trial;
    /// Whether the document in trial was proven.
    bool trialProven = false;
    /// Document in production.
    std::optional<configuration_version> production;
    /// Accepted changes, oldest first.
    std::deque<configuration_change> history;
    /// Results kept for retries, oldest first.
    std::deque<operation_record> operations;

    friend bool operator==(const configuration_state&, const configuration_state&) = default;
};

/// Applies a committed command. Equal states, commands and times give equal states and results on every replica.
configuration_result applyCommand(configuration_state&, const configuration_command&, log_time now);

/// Returns the hash that identifies a document in a promotion (XXH3, 64 bits).
std::uint64_t documentHash(std::string_view document);

} // namespace chervilport
