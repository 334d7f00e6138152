#include "tests/soak/socket_owner.h"

#include <charconv>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace chervilport::soak {

namespace {

    constexpr int hexBase = 16;

    /// Returns the port of an address in /proc/net/tcp, `ADDRESS:PORT` in hexadecimal.
    std::uint16_t portOf(const std::string& listed)
    {
        std::uint16_t port = 0;
        const auto colon = listed.find(':');
        if (colon != std::string::npos)
            std::from_chars(listed.data() + colon + 1, listed.data() + listed.size(), port, hexBase);
        return port;
    }

    std::string findInode(std::uint16_t localPort, std::uint16_t remotePort)
    {
        std::ifstream table("/proc/net/tcp");
        std::string line;
        std::getline(table, line);
        while (std::getline(table, line)) {
            std::istringstream fields(line);
            std::string number;
            std::string local;
            std::string remote;
            std::string skipped;
            std::string inode;
            fields >> number >> local >> remote;
            if (portOf(local) != localPort || portOf(remote) != remotePort)
                continue;
            // Skip state, queues, timer, retransmissions, user and timeout, which precede the inode.
            for (int i = 0; i < 6; ++i)
                fields >> skipped;
            fields >> inode;
            return inode;
        }
        return {};
    }

    bool holdsSocket(pid_t process, const std::string& name)
    {
        std::error_code error;
        const std::filesystem::path folder = "/proc/" + std::to_string(process) + "/fd";
        for (const auto& each : std::filesystem::directory_iterator(folder, error)) {
            if (std::filesystem::read_symlink(each.path(), error).string() == name)
                return true;
        }
        return false;
    }

} // namespace

std::optional<pid_t> findSocketOwner(
    std::span<const pid_t> processes, std::uint16_t localPort, std::uint16_t remotePort)
{
    const auto inode = findInode(localPort, remotePort);
    if (inode.empty())
        return std::nullopt;
    const auto name = "socket:[" + inode + "]";
    for (const auto process : processes) {
        if (holdsSocket(process, name))
            return process;
    }
    return std::nullopt;
}

} // namespace chervilport::soak
