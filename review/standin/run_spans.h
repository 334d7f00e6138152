#pragma once

#include "review/standin/executor.h"

#include <string>
#include <vector>

namespace review {

/// Returns whether a run of the task began while another one was at work, and writes each such pair to the record. The
/// events are in the order of time.
bool hasOverlap(const std::vector<run_event>& events, const std::string& task, record&);

} // namespace review
