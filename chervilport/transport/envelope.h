#pragma once

#include "chervilport/consensus/message.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervilport {

/// The replication group that a message belongs to.
enum class replication_scope : std::uint8_t {
    /// The group of the sender's failure domain.
    Domain,
    /// The group of the whole fleet.
    Fleet,
};

/// A replication message with its group.
struct scoped_message {
    /// Group of sender and receiver.
    replication_scope scope = replication_scope::Domain;
    /// The message.
    message content;
};

/// Content of one `deliver` call from one instance to another.
struct envelope {
    /// Version of the production configuration at the sender; 0 when it has none.
    std::uint64_t configurationVersion = 0;
    /// Replication messages, oldest first. Any of them can be lost.
    std::vector<scoped_message> messages;
    /// Content that is opaque to the transport, such as announcements of upstreams. Any of them can be lost.
    std::vector<std::string> notices;
};

} // namespace chervilport
