#include "chervilport/routing/retry_budget.h"

#include <algorithm>

namespace chervilport {

void depositRetry(retry_budget& budget)
{
    budget.balance = std::min(budget.balance + budget.settings.retriesPerRequest, budget.settings.maxBalance);
}

bool withdrawRetry(retry_budget& budget)
{
    if (budget.balance < 1)
        return false;
    budget.balance -= 1;
    return true;
}

} // namespace chervilport
