#pragma once

namespace chervilport::soak {

/// Active faults of an executor. Each is a count because faults of one kind can overlap.
struct executor_faults {
    /// Down: requests get no response and nothing runs.
    int down = 0;
    /// Executes requests and drops some of the responses.
    int losesResponses = 0;
    /// Executes some start and stop requests seconds later and does not respond to them.
    int delaysRequests = 0;
    /// Fails all runs soon after they begin to work.
    int failsRuns = 0;
};

} // namespace chervilport::soak
