#include "chervilport/batch/config_check.h"

#include <algorithm>
#include <set>
#include <utility>

namespace chervilport::batch {

std::vector<std::string> findConfigFaults(const site_config& config)
{
    std::vector<std::string> faults;
    if (config.version == 0)
        faults.emplace_back("the version is 0; it must be positive");
    std::set<std::pair<std::string, std::string>> routes;
    for (const auto& queue : config.queues) {
        if (std::find(config.services.begin(), config.services.end(), queue.service) == config.services.end())
            faults.push_back("queue " + queue.name + " names the unknown service " + queue.service);
        if (queue.timeoutMs <= 0)
            faults.push_back("queue " + queue.name + " has a timeout of " + std::to_string(queue.timeoutMs)
                + " ms; it must be positive");
        if (!routes.emplace(queue.host, queue.pathPrefix).second)
            faults.push_back("queue " + queue.name + " has the same host " + queue.host + " and path prefix "
                + queue.pathPrefix + " as another queue");
    }
    std::set<std::string> keys;
    for (const auto& workspace : config.workspaces) {
        for (const auto& key : std::set<std::string>(workspace.keys.begin(), workspace.keys.end())) {
            if (!keys.insert(key).second)
                faults.push_back("workspace " + workspace.name + " shares a key with another workspace");
        }
    }
    return faults;
}

} // namespace chervilport::batch
