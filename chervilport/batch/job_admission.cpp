#include "chervilport/batch/job_admission.h"

#include "chervilport/core/chervilport_error.h"

namespace chervilport::batch {

resolved_call resolveCall(const batch_state& state, std::string_view host, std::string_view path, std::string_view key)
{
    if (state.config.version == 0)
        throw chervilport_error(error_kind::Unavailable, "there is no configuration yet");
    const auto* const queue = findQueue(state.config, host.substr(0, host.find(':')), path);
    if (queue == nullptr)
        throw chervilport_error(error_kind::NotFound,
            "no queue matches the host " + std::string(host) + " and the path " + std::string(path));
    resolved_call call { queue, {}, std::string(path.substr(queue->pathPrefix.size())) };
    const auto* const workspace = findWorkspaceByKey(state.config, key);
    if (workspace == nullptr && !queue->isPublic)
        throw chervilport_error(error_kind::Unauthenticated, "the key does not belong to any workspace");
    if (workspace != nullptr)
        call.workspace = workspace->name;
    return call;
}

} // namespace chervilport::batch
