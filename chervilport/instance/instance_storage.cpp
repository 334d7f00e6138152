#include "chervilport/instance/instance_storage.h"

#include "chervilport/instance/monotonic_now.h"
#include "chervilport/storage/data_folder.h"
#include "chervilport/storage/file_system.h"
#include "chervilport/storage/log_store.h"

namespace chervilport {

namespace {

    // Returns the wall clock in microseconds, which increases from start to start, so that no incarnation is reused.
    std::uint64_t newIncarnation() { return static_cast<std::uint64_t>(wallNow().time_since_epoch().count()); }

} // namespace

struct instance_storage::implementation {
    implementation(const std::string& path, std::uint64_t incarnation)
        : folder(realFileSystem(), path, incarnation)
    {
    }
    data_folder folder;
};

instance_storage::instance_storage(const std::string& dataFolder)
    : m_incarnation(newIncarnation())
{
    if (dataFolder.empty())
        return;
    m_implementation = std::make_unique<implementation>(dataFolder, m_incarnation);
    m_incarnation = m_implementation->folder.incarnation();
}

instance_storage::~instance_storage() = default;

bool instance_storage::hasDisk() const { return m_implementation != nullptr; }

bool instance_storage::hasGroup(const std::string& group) const
{
    return m_implementation && m_implementation->folder.hasGroup(group);
}

group_storage instance_storage::openGroup(const std::string& group)
{
    if (!m_implementation)
        return makeVolatileStorage();
    const auto store = std::make_shared<log_store>(m_implementation->folder, group);
    return {
        [store] { return store->load(); },
        [store](const replica_output& output) {
            store->persist(output.hardState, output.installedSnapshot, output.appended);
        },
        [store](const snapshot& taken) { store->saveSnapshot(taken); },
    };
}

} // namespace chervilport
