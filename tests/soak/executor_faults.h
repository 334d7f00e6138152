#pragma once

namespace chervilport::soak {

/// How an executor misbehaves now. Counts, since faults overlap.
struct executor_faults {
    /// It is gone: no connection is answered and nothing runs.
    int down = 0;
    /// Orders are carried out and their answers are lost.
    int losesResponses = 0;
    /// Orders get no answer and are carried out seconds later.
    int delaysRequests = 0;
    /// All runs fail soon after their start.
    int failsRuns = 0;
};

} // namespace chervilport::soak
