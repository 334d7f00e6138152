#pragma once

#include <cstddef>

namespace chervilport {

/// How many descriptors of a control instance each kind of connection may take. The rest is for the connections of
/// members, which replication depends on, and for files.
struct descriptor_budget {
    /// Connections that other instances without a reserved place open to this one.
    std::size_t instances = 0;
    /// Connections that have not yet said which instance opened them.
    std::size_t unidentified = 0;
    /// Connections of workers, operators and other callers over HTTP.
    std::size_t callers = 0;
    /// Callers' connections above which each is closed after its response, so that there are always some to accept.
    std::size_t keptCallers = 0;
    /// Idle connections to workers.
    std::size_t workers = 0;
};

/// Divides the descriptors of a process.
descriptor_budget divideDescriptors(std::size_t maxDescriptors);

} // namespace chervilport
