#pragma once

#include "chervilport/core/log_time.h"

namespace chervilport {

/// Returns the pause before the next scheduling pass after a pass that took the given time. Passes are requested by
/// each change, so that under load they would follow each other without a pause and leave no time for the calls of
/// clients and workers: the pause bounds their share of the time of the control thread.
log_duration passPauseAfter(log_duration passTime);

} // namespace chervilport
