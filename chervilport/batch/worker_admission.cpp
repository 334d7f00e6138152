#include "chervilport/batch/worker_admission.h"

#include <algorithm>

namespace chervilport::batch {

namespace {

    /// Returns whether the later report shows that the earlier worker has ended: another worker started later at its
    /// address. A worker that restarts under the same id keeps its record and its runs: a start request sent before its
    /// report arrived can have started a run in the new incarnation, so each run is reconciled with the worker itself.
    bool endsIncarnation(const worker_report& earlier, const worker_report& later)
    {
        return earlier.id != later.id && earlier.address == later.address && earlier.incarnation <= later.incarnation;
    }

} // namespace

std::vector<worker_number> replacedWorkers(const batch_state& state, const worker_report& report)
{
    std::vector<worker_number> replaced;
    for (const auto& [number, worker] : state.workers) {
        if (endsIncarnation(worker.report, report))
            replaced.push_back(number);
    }
    return replaced;
}

bool changesWorker(const batch_state& state, const worker_report& report)
{
    const auto* const worker = findWorker(state, report.id);
    if (worker == nullptr || worker->report.incarnation != report.incarnation)
        return true;
    const auto& recorded = worker->report;
    return recorded.draining != report.draining || recorded.address != report.address
        || recorded.service != report.service || recorded.failureDomain != report.failureDomain
        || recorded.capacity != report.capacity || recorded.labels != report.labels
        || recorded.machine != report.machine;
}

bool isOutdated(const batch_state& state, const worker_report& report)
{
    if (const auto* const worker = findWorker(state, report.id)) {
        const auto& recorded = worker->report;
        if (recorded.incarnation == report.incarnation)
            return report.sequence <= recorded.sequence || (recorded.draining && !report.draining);
        if (report.incarnation < recorded.incarnation)
            return true;
    }
    return std::any_of(state.workers.begin(), state.workers.end(), [&](const auto& entry) {
        const auto& recorded = entry.second.report;
        return recorded.address == report.address && report.incarnation < recorded.incarnation;
    });
}

bool isOfUnknownService(const batch_state& state, const worker_report& report)
{
    const auto& services = state.config.services;
    if (std::find(services.begin(), services.end(), report.service) != services.end())
        return false;
    const auto* const worker = findWorker(state, report.id);
    return worker == nullptr || worker->report.service != report.service;
}

} // namespace chervilport::batch
