#pragma once

#include "http.h"
#include "record.h"
#include "site.h"

#include <optional>
#include <string>

namespace review {

/// The queue that a client uses.
struct queue_address {
    std::string host;
    std::string prefix;
    std::string key;
};

/// How a client's attempts to hand in a job ended.
enum class submission : std::uint8_t {
    Accepted,
    Rejected,
    Unknown,
};

/// Sends a call to an entry machine with the headers of a client and writes it to the record.
response callEntry(record&, const endpoint& front, const queue_address&, const std::string& method,
    const std::string& job, const std::string& body);

/// Hands in a job at one entry machine after the other, until it is accepted or rejected. An attempt without a clear
/// answer is repeated.
submission submit(record&, const site&, const queue_address&, std::size_t firstEntry, const std::string& job,
    const std::string& body);

/// Returns the state of a job, `410` for one that does not exist, or nothing without an answer from any entry machine.
std::optional<std::string> stateOf(record&, const site&, const queue_address&, const std::string& job);

/// Sends a configuration to one control machine after the other, until it is acknowledged or refused. Returns the
/// status.
int putConfig(record&, const site&, std::size_t firstControl, const std::string& config);

} // namespace review
