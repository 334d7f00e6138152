#include "chervilport/routing/retry_budget.h"

#include <algorithm>

namespace chervilport {

void earnRetry(retry_budget& budget)
{
    budget.saved = std::min(budget.saved + budget.settings.perRequest, budget.settings.largest);
}

bool spendRetry(retry_budget& budget)
{
    if (budget.saved < 1)
        return false;
    budget.saved -= 1;
    return true;
}

} // namespace chervilport
