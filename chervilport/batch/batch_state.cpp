#include "chervilport/batch/batch_state.h"

#include <algorithm>

namespace chervilport::batch {

const job_record* findJob(const batch_state& state, std::string_view id)
{
    const auto found = state.jobs.find(std::string(id));
    return found == state.jobs.end() ? nullptr : &found->second;
}

const worker_record* findWorker(const batch_state& state, worker_number number)
{
    const auto found = state.workers.find(number);
    return found == state.workers.end() ? nullptr : &found->second;
}

const worker_record* findWorker(const batch_state& state, std::string_view id)
{
    const auto found = state.numbersById.find(id);
    return found == state.numbersById.end() ? nullptr : findWorker(state, found->second);
}

bool acceptsRuns(const batch_state& state, const worker_record& worker)
{
    return !worker.report.draining && !state.evacuatedDomains.contains(worker.report.failureDomain);
}

const queue_config* findQueue(const site_config& config, std::string_view name)
{
    const auto found = std::find_if(
        config.queues.begin(), config.queues.end(), [&](const queue_config& queue) { return queue.name == name; });
    return found == config.queues.end() ? nullptr : &*found;
}

const queue_config* findQueue(const site_config& config, std::string_view host, std::string_view path)
{
    const queue_config* best = nullptr;
    for (const auto& queue : config.queues) {
        if (queue.host != host || !path.starts_with(queue.pathPrefix))
            continue;
        if (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())
            best = &queue;
    }
    return best;
}

const queue_config& queueOf(const site_config& config, const job_record& job)
{
    const auto* const configured = findQueue(config, job.queue.name);
    return configured != nullptr ? *configured : job.queue;
}

const workspace_quota* findWorkspaceByKey(const site_config& config, std::string_view key)
{
    for (const auto& workspace : config.workspaces) {
        if (std::find(workspace.keys.begin(), workspace.keys.end(), key) != workspace.keys.end())
            return &workspace;
    }
    return nullptr;
}

} // namespace chervilport::batch
