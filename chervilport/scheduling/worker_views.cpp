#include "chervilport/scheduling/decision_core.h"
#include "chervilport/scheduling/schedule_state.h"

#include <cstddef>

namespace chervilport {

namespace {

    bool isPresent(const worker_record& worker)
    {
        return worker.state == worker_state::Ready || worker.state == worker_state::Leaving;
    }

    worker_view viewOf(const worker_record& worker)
    {
        return { worker.name, worker.incarnation, worker.state == worker_state::Leaving, worker.quarantined,
            worker.rackPosition, worker.capacity };
    }

} // namespace

std::optional<worker_view> findWorker(const schedule_state& state, std::string_view name)
{
    const auto found = state.workerByName.find(name);
    if (found == state.workerByName.end())
        return std::nullopt;
    const auto& worker = state.workers[static_cast<std::size_t>(found->second)];
    if (!isPresent(worker))
        return std::nullopt;
    return viewOf(worker);
}

std::vector<worker_view> listWorkers(const schedule_state& state)
{
    std::vector<worker_view> present;
    for (const auto& [name, index] : state.workerByName) {
        const auto& worker = state.workers[static_cast<std::size_t>(index)];
        if (isPresent(worker))
            present.push_back(viewOf(worker));
    }
    return present;
}

std::uint64_t configurationVersion(const schedule_state& state) { return state.configuration.version; }

} // namespace chervilport
