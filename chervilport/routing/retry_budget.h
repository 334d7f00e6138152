#pragma once

namespace chervilport {

/// Limits of a retry budget.
struct retry_budget_settings {
    /// Retries earned by each first attempt. Bounds the added load when everything fails.
    double retriesPerRequest = 0.1;
    /// Largest number of saved retries; also the number at the start.
    double maxBalance = 20;
};

/// Bounds the retries of a service to a share of its requests, so that retries cannot multiply an overload.
struct retry_budget {
    /// Limits.
    retry_budget_settings settings;
    /// Retries saved.
    double balance = settings.maxBalance;
};

/// Notes a first attempt.
void depositRetry(retry_budget&);

/// Takes one retry out of the budget; returns false if there is none.
bool withdrawRetry(retry_budget&);

} // namespace chervilport
