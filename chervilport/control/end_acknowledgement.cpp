#include "chervilport/control/end_acknowledgement.h"

#include <algorithm>

namespace chervilport {

bool mustAcknowledge(const end_acknowledgement& ends) { return ends.listed > ends.confirmed; }

bool isUnsettled(const end_acknowledgement& ends) { return ends.isInFlight || ends.isUnanswered; }

void beginEpoch(end_acknowledgement& ends)
{
    ends.isInFlight = false;
    ends.isUnanswered = false;
}

void commitListedEnds(end_acknowledgement& ends) { ends.committed = std::max(ends.committed, ends.listed); }

void restartNumbering(end_acknowledgement& ends)
{
    ends.listed = 0;
    ends.committed = 0;
    ends.confirmed = 0;
}

void forgetUncommittedEnds(end_acknowledgement& ends) { ends.listed = ends.committed; }

void recordAcknowledgementSent(end_acknowledgement& ends, std::uint64_t acknowledged)
{
    if (acknowledged > 0)
        ends.isInFlight = true;
}

void recordAcknowledgementResult(
    end_acknowledgement& ends, std::uint64_t acknowledged, bool isExecuted, bool canBeExecuted)
{
    if (acknowledged == 0)
        return;
    // The acknowledgement may be that of an earlier incarnation, whose numbers no longer count.
    if (isExecuted && acknowledged <= ends.committed)
        ends.confirmed = std::max(ends.confirmed, acknowledged);
    ends.isUnanswered = ends.isUnanswered || (ends.isInFlight && canBeExecuted);
    ends.isInFlight = false;
}

} // namespace chervilport
