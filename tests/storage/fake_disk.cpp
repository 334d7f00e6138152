#include "tests/storage/fake_disk.h"

#include "chervilport/core/chervilport_error.h"

#include <algorithm>
#include <cassert>

namespace chervilport {

namespace {

    constexpr std::size_t sectorBytes = 512;

    [[noreturn]] void fail(const std::string& path)
    {
        throw chervilport_error(error_kind::StorageFailure, "fake failure at " + path);
    }

} // namespace

void fake_disk::countOperation(const std::string& path)
{
    const auto number = operations++;
    if (number >= crashAt)
        throw simulated_crash {};
    if (number >= failFrom && number < failUntil)
        fail(path);
}

fake_disk::name_location fake_disk::locate(const std::string& path) const
{
    name_location result { 0, path };
    for (auto slash = result.name.find('/'); slash != std::string::npos; slash = result.name.find('/')) {
        const auto& names = m_names.at(result.folder);
        const auto found = names.find(result.name.substr(0, slash));
        if (found == names.end())
            fail(path);
        result.folder = found->second;
        result.name = result.name.substr(slash + 1);
    }
    return result;
}

int fake_disk::find(const std::string& path) const
{
    if (path == ".")
        return 0;
    const auto location = locate(path);
    const auto& names = m_names.at(location.folder);
    const auto found = names.find(location.name);
    return found == names.end() ? -1 : found->second;
}

int fake_disk::require(const std::string& path) const
{
    const int id = find(path);
    if (id < 0)
        fail(path);
    return id;
}

void fake_disk::change(name_change effects)
{
    apply(m_names, effects);
    m_unsyncedNames.push_back(std::move(effects));
}

void fake_disk::apply(name_table& names, const name_change& effects)
{
    for (const auto& each : effects) {
        if (each.target < 0)
            names[each.folder].erase(each.name);
        else
            names[each.folder][each.name] = each.target;
    }
}

file_system fake_disk::files()
{
    file_system result;
    result.create = [this](const std::string& path) {
        countOperation(path);
        const auto location = locate(path);
        const int id = m_nextId++;
        m_files[id] = {};
        change({ { location.folder, location.name, id } });
        return id;
    };
    result.write = [this](int handle, std::string_view bytes) {
        const bool fails = operations >= failFrom && operations < failUntil;
        // A full disk writes only a part of the bytes.
        if (fails)
            m_files.at(handle).unsynced.append(bytes.substr(0, bytes.size() / 2));
        countOperation("write");
        m_files.at(handle).unsynced.append(bytes);
    };
    result.sync = [this](int handle) {
        auto& target = m_files.at(handle);
        target.syncFailed = target.syncFailed || (operations >= failFrom && operations < failUntil);
        countOperation("sync");
        if (target.syncFailed)
            return;
        target.synced.append(target.unsynced);
        target.unsynced.clear();
    };
    result.close = [](int) {};
    result.read = [this](const std::string& path) {
        return contentAfterCrash(m_files.at(require(path)), unsynced_bytes::Kept);
    };
    result.exists = [this](const std::string& path) { return find(path) >= 0; };
    result.list = [this](const std::string& path) {
        std::vector<std::string> names;
        for (const auto& each : m_names[require(path)])
            names.push_back(each.first);
        return names;
    };
    result.createFolder = [this](const std::string& path) {
        if (find(path) >= 0)
            return;
        countOperation(path);
        const auto location = locate(path);
        const int id = m_nextId++;
        m_names[id] = {};
        m_syncedNames[id] = {};
        change({ { location.folder, location.name, id } });
    };
    result.rename = [this](const std::string& from, const std::string& to) {
        countOperation(from);
        const auto target = require(from);
        const auto source = locate(from);
        const auto destination = locate(to);
        change({ { source.folder, source.name, -1 }, { destination.folder, destination.name, target } });
    };
    result.remove = [this](const std::string& path) {
        countOperation(path);
        require(path);
        const auto location = locate(path);
        change({ { location.folder, location.name, -1 } });
    };
    result.syncFolder = [this](const std::string& path) {
        countOperation(path);
        const int folder = require(path);
        std::vector<name_change> remaining;
        for (auto& each : m_unsyncedNames) {
            const bool synced = std::any_of(
                each.begin(), each.end(), [folder](const name_effect& effect) { return effect.folder == folder; });
            if (synced)
                apply(m_syncedNames, each);
            else
                remaining.push_back(std::move(each));
        }
        m_unsyncedNames = std::move(remaining);
    };
    result.lock = [this](const std::string& path) {
        const auto location = locate(path);
        if (find(path) < 0) {
            const int id = m_nextId++;
            m_files[id] = {};
            apply(m_names, { { location.folder, location.name, id } });
        }
        return find(path);
    };
    return result;
}

std::string fake_disk::contentAfterCrash(const stored_file& value, unsynced_bytes treatment)
{
    auto bytes = value.unsynced;
    const auto start = value.synced.size();
    switch (treatment) {
    case unsynced_bytes::Lost:
        return value.synced;
    case unsynced_bytes::Kept:
        break;
    case unsynced_bytes::Half:
        bytes.resize(bytes.size() / 2);
        break;
    case unsynced_bytes::FirstSectorZero: {
        const auto end = std::min(bytes.size(), (start / sectorBytes + 1) * sectorBytes - start);
        std::fill_n(bytes.begin(), end, '\0');
        break;
    }
    case unsynced_bytes::LastSectorZero: {
        const auto sector = bytes.empty() ? start : (start + bytes.size() - 1) / sectorBytes * sectorBytes;
        std::fill(bytes.begin() + static_cast<std::ptrdiff_t>(std::max(sector, start) - start), bytes.end(), '\0');
        break;
    }
    }
    return value.synced + bytes;
}

std::vector<std::shared_ptr<fake_disk>> fake_disk::crashStates() const
{
    assert(m_unsyncedNames.size() <= 6);
    const bool anyUnsynced
        = std::any_of(m_files.begin(), m_files.end(), [](const auto& each) { return !each.second.unsynced.empty(); });
    std::vector<std::shared_ptr<fake_disk>> states;
    for (const auto treatment : { unsynced_bytes::Lost, unsynced_bytes::Kept, unsynced_bytes::Half,
             unsynced_bytes::FirstSectorZero, unsynced_bytes::LastSectorZero }) {
        if (!anyUnsynced && treatment != unsynced_bytes::Lost)
            break;
        for (unsigned kept = 0; kept < 1U << m_unsyncedNames.size(); ++kept) {
            auto state = std::make_shared<fake_disk>();
            state->m_nextId = m_nextId;
            for (const auto& [id, stored] : m_files)
                state->m_files[id].synced = contentAfterCrash(stored, treatment);
            state->m_syncedNames = m_syncedNames;
            for (std::size_t i = 0; i < m_unsyncedNames.size(); ++i) {
                if ((kept >> i & 1U) != 0)
                    apply(state->m_syncedNames, m_unsyncedNames[i]);
            }
            state->m_names = state->m_syncedNames;
            states.push_back(std::move(state));
        }
    }
    return states;
}

std::string& fake_disk::content(const std::string& path) { return m_files.at(require(path)).synced; }

std::vector<std::string> fake_disk::paths(const std::string& folder)
{
    std::vector<std::string> result;
    for (const auto& each : m_names.at(require(folder)))
        result.push_back(folder + "/" + each.first);
    return result;
}

} // namespace chervilport
