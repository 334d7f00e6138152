#pragma once

namespace chervilport {

/// Settings of a retry budget.
struct retry_budget_settings {
    /// Retries deposited by each first attempt. Bounds the additional load while all attempts fail.
    double retriesPerRequest = 0.1;
    /// Maximum balance, and the initial balance, in retries.
    double maxBalance = 20;
};

/// Token bucket that bounds the retries of a service to a ratio of its requests, so that retries cannot amplify an
/// overload.
struct retry_budget {
    /// Limits.
    retry_budget_settings settings;
    /// Retries available.
    double balance = settings.maxBalance;
};

/// Deposits the retries earned by a first attempt.
void depositRetry(retry_budget&);

/// Withdraws one retry. Returns false if the balance is below one.
bool withdrawRetry(retry_budget&);

} // namespace chervilport
