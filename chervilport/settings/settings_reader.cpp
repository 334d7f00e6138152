#include "chervilport/settings/settings_reader.h"

#include "chervilport/settings/settings_table.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <fstream>
#include <iterator>
#include <set>

namespace chervilport {

namespace {

    constexpr std::int64_t millisecondsInHour = 3'600'000;
    constexpr std::int64_t maxInstanceId = 1'000'000;
    constexpr std::int64_t bodyBytesLimit = std::int64_t { 64 } << 20;

    struct split_address {
        std::string address;
        std::string_view port;
    };

    std::optional<split_address> splitAddress(std::string_view text)
    {
        const auto colon = text.rfind(':');
        if (colon == std::string_view::npos)
            return std::nullopt;
        auto address = text.substr(0, colon);
        if (address.size() >= 2 && address.front() == '[' && address.back() == ']')
            address = address.substr(1, address.size() - 2);
        return split_address { std::string(address), text.substr(colon + 1) };
    }

    void readInstance(const toml::node& node, std::size_t position, settings& values, const std::string& file,
        std::vector<settings_error>& errors)
    {
        const std::string prefix = "cluster.instances[" + std::to_string(position) + "].";
        if (!node.is_table()) {
            errors.push_back({ file, static_cast<std::uint32_t>(node.source().begin.line), prefix, "must be a table" });
            return;
        }
        instance_address address;
        settings_table reader(node.as_table(), prefix, file, errors);
        reader.read("id", address.id, 1, maxInstanceId);
        reader.read("failure_domain", address.failureDomain);
        reader.readAddress("http", address.http);
        reader.readAddress("peer", address.peer);
        reader.read("disk", address.hasDisk);
        reader.read("domain_voter", address.isDomainVoter);
        reader.read("fleet_voter", address.isFleetVoter);
        reader.refuseUnknownKeys();
        if (!address.id)
            reader.fail("id", "is required, a whole number from 1 to 1000000");
        if (address.failureDomain.empty())
            reader.fail("failure_domain", "is required");
        if (address.peer.empty())
            reader.fail("peer", "is required, an IP address and a port");
        values.instances.push_back(address);
    }

    void readLogLevel(settings_table& reader, log_level& level)
    {
        std::string name;
        reader.read("level", name);
        if (name.empty())
            return;
        constexpr std::array<std::string_view, 4> names { "debug", "info", "warning", "error" };
        const auto* const found = std::find(names.begin(), names.end(), name);
        if (found == names.end())
            reader.fail("level", "must be one of \"debug\", \"info\", \"warning\", \"error\", got \"" + name + "\"");
        else
            level = static_cast<log_level>(found - names.begin());
    }

    void readTables(
        const toml::table& root, settings& values, const std::string& file, std::vector<settings_error>& errors)
    {
        settings_table top(&root, "", file, errors);

        settings_table instance(top.subtable("instance"), "instance.", file, errors);
        instance.read("id", values.instanceId, 1, maxInstanceId);
        instance.read("failure_domain", values.failureDomain);
        instance.read("data_folder", values.dataFolder);
        instance.read("address_file", values.addressFile);
        instance.read("stop_grace_ms", values.drainDelay, 0, millisecondsInHour);
        instance.read("stop_timeout_ms", values.drainTimeout, 0, millisecondsInHour);
        instance.refuseUnknownKeys();

        settings_table listen(top.subtable("listen"), "listen.", file, errors);
        listen.readAddress("http", values.httpListen);
        listen.readAddress("peer", values.peerListen);
        listen.read("max_body_bytes", values.maxBodyBytes, 1'024, bodyBytesLimit);
        listen.read("max_header_bytes", values.maxHeaderBytes, 1'024, 1 << 20);
        listen.read("max_connections", values.maxConnections, 1, 100'000);
        listen.read("max_queued_requests", values.maxQueuedRequests, 0, 100'000);
        listen.refuseUnknownKeys();

        settings_table access(top.subtable("access"), "access.", file, errors);
        access.read("token_file", values.tokenFile);
        access.read("allow_open_listener", values.allowOpenListener);
        access.refuseUnknownKeys();

        settings_table timing(top.subtable("timing"), "timing.", file, errors);
        timing.read("lease_ms", values.lease, 100, millisecondsInHour);
        timing.read("lease_renewal_ms", values.leaseRenewal, 20, millisecondsInHour);
        timing.read("announcement_expiry_ms", values.announcementExpiry, 100, millisecondsInHour);
        timing.read("domain_heartbeat_ms", values.domainHeartbeat, 10, 60'000);
        timing.read("domain_election_ms", values.domainElection, 50, 600'000);
        timing.read("fleet_heartbeat_ms", values.fleetHeartbeat, 10, 60'000);
        timing.read("fleet_election_ms", values.fleetElection, 50, 600'000);
        timing.refuseUnknownKeys();

        settings_table log(top.subtable("log"), "log.", file, errors);
        readLogLevel(log, values.logLevel);
        log.read("file", values.logFile);
        log.refuseUnknownKeys();

        settings_table cluster(top.subtable("cluster"), "cluster.", file, errors);
        cluster.read("id", values.clusterId);
        cluster.read("secret_file", values.secretFile);
        if (const auto* const instances = cluster.array("instances")) {
            for (std::size_t i = 0; i < instances->size(); ++i)
                readInstance(*instances->get(i), i, values, file, errors);
        }
        cluster.refuseUnknownKeys();

        top.refuseUnknownKeys();
    }

    // Checks the constraints between several keys.
    void checkAcrossKeys(const settings& values, const std::string& file, std::vector<settings_error>& errors)
    {
        const auto fail = [&](const std::string& key, const std::string& message) {
            errors.push_back({ file, 0, key, message });
        };
        if (values.leaseRenewal * 2 > values.lease)
            fail("timing.lease_renewal_ms",
                "must be at most half of timing.lease_ms, so that a worker keeps its lease when one renewal is lost");
        if (values.domainHeartbeat * 2 > values.domainElection)
            fail("timing.domain_heartbeat_ms", "must be at most half of timing.domain_election_ms");
        if (values.fleetHeartbeat * 2 > values.fleetElection)
            fail("timing.fleet_heartbeat_ms", "must be at most half of timing.fleet_election_ms");
        if (values.tokenFile.empty() && !values.allowOpenListener && !isLoopback(values.httpListen))
            fail("listen.http",
                "must be a loopback address unless access.token_file is set or access.allow_open_listener is true, got "
                    + values.httpListen);
        if (values.instances.empty())
            return;

        // Check that ids are unique and that the list contains this instance.
        std::set<std::uint64_t> ids;
        bool isListed = false;
        for (const auto& instance : values.instances) {
            if (!ids.insert(instance.id).second)
                fail("cluster.instances", "the id " + std::to_string(instance.id) + " is given twice");
            isListed |= instance.id == values.instanceId && instance.failureDomain == values.failureDomain;
        }
        if (!isListed)
            fail("cluster.instances", "must list this instance with its id and failure domain");
        if (values.instances.size() > 1 && values.secretFile.empty())
            fail("cluster.secret_file", "is required when there is more than one instance");
    }

} // namespace

settings_result readSettings(std::string_view text, const std::string& file)
{
    settings_result result;
    try {
        const toml::table root = toml::parse(text, file);
        readTables(root, result.values, file, result.errors);
    } catch (const toml::parse_error& error) {
        const auto line = static_cast<std::uint32_t>(error.source().begin.line);
        result.errors.push_back({ file, line, "", std::string(error.description()) });
        return result;
    }
    std::stable_sort(result.errors.begin(), result.errors.end(),
        [](const settings_error& left, const settings_error& right) { return left.line < right.line; });
    checkAcrossKeys(result.values, file, result.errors);
    return result;
}

settings_result readSettingsFile(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    const std::string text(std::istreambuf_iterator<char>(stream), {});
    if (!stream.good() && !stream.eof()) {
        settings_result result;
        result.errors.push_back({ path, 0, "", "cannot be read" });
        return result;
    }
    return readSettings(text, path);
}

bool isIpAddressAndPort(std::string_view text)
{
    const auto parts = splitAddress(text);
    if (!parts)
        return false;
    std::uint16_t port = 0;
    const auto* const end = parts->port.data() + parts->port.size();
    const auto parsed = std::from_chars(parts->port.data(), end, port);
    if (parsed.ec != std::errc {} || parsed.ptr != end)
        return false;
    std::array<unsigned char, 16> buffer {};
    return inet_pton(AF_INET, parts->address.c_str(), buffer.data()) == 1
        || inet_pton(AF_INET6, parts->address.c_str(), buffer.data()) == 1;
}

bool isLoopback(std::string_view addressAndPort)
{
    const auto parts = splitAddress(addressAndPort);
    return parts && (parts->address.starts_with("127.") || parts->address == "::1");
}

} // namespace chervilport
