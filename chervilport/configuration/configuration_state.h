#pragma once

#include "chervilport/configuration/configuration_answer.h"
#include "chervilport/configuration/configuration_command.h"
#include "chervilport/core/log_time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport {

/// Largest document in bytes.
constexpr std::size_t maxDocumentBytes = std::size_t { 256 } * 1024;
/// Answers kept for resends: as many as a day of 600 changes, each put, proven and promoted, needs.
constexpr std::size_t maxOperationRecords = 2000;
/// Time for which an answer is kept for resends.
constexpr log_duration operationRetention = std::chrono::hours(24);
/// Changes kept in the history.
constexpr std::size_t maxHistoryChanges = 2000;
/// Differences kept for one change, and returned for a conflict.
constexpr std::size_t maxDifferences = 100;

/// A document under its version.
struct configuration_version {
    /// Number of the version; it only increases.
    std::uint64_t version = 0;
    /// Hash of the document.
    std::uint64_t hash = 0;
    /// The document as submitted.
    std::string document;

    friend bool operator==(const configuration_version&, const configuration_version&) = default;
};

/// What was done to a version.
enum class configuration_step : std::uint8_t {
    Put,
    Proven,
    Promoted,
};

/// An accepted change.
struct configuration_change {
    /// What was done.
    configuration_step step = configuration_step::Put;
    /// The version concerned and the hash of its document.
    std::uint64_t version = 0;
    std::uint64_t hash = 0;
    /// Who did it, and when by the wall clock of the leader.
    std::string operatorName;
    std::int64_t unixMs = 0;
    /// What changed: for a put against the document in trial before, for a promotion against that in production.
    std::vector<document_difference> differences;

    friend bool operator==(const configuration_change&, const configuration_change&) = default;
};

/// The first answer under an operation key.
struct operation_record {
    /// The key.
    std::string key;
    /// Hash of what the operator sent under it.
    std::uint64_t contentHash = 0;
    /// Log time of the answer.
    log_time answeredAt {};
    /// The answer.
    configuration_answer answer;

    friend bool operator==(const operation_record&, const operation_record&) = default;
};

/// State of the fleet log: the documents of an environment.
struct configuration_state {
    /// Last version number given.
    std::uint64_t lastVersion = 0;
    /// Document in trial.
    std::optional<configuration_version> trial;
    /// Whether the document in trial was proven.
    bool trialProven = false;
    /// Document in production.
    std::optional<configuration_version> production;
    /// Accepted changes, oldest first.
    std::deque<configuration_change> history;
    /// Answers kept for resends, oldest first.
    std::deque<operation_record> operations;

    friend bool operator==(const configuration_state&, const configuration_state&) = default;
};

/// Applies a committed command. Equal states, commands and times give equal states and answers on every replica.
configuration_answer applyCommand(configuration_state&, const configuration_command&, log_time now);

/// Hash by which a document is promoted (XXH3, 64 bits).
std::uint64_t documentHash(std::string_view document);

} // namespace chervilport
