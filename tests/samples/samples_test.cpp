#include "chervilport/configuration/environment_document.h"
#include "chervilport/configuration/guarantee_proof.h"
#include "chervilport/settings/settings_reader.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <vector>

using namespace chervilport;

namespace {

constexpr int workersPerDomain = 17;
constexpr int workersPerRack = 8;
constexpr std::size_t domainCount = 3;
constexpr std::size_t instancesPerDomain = 3;
constexpr std::size_t workspaceCount = 4;

std::string readAll(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    return { std::istreambuf_iterator<char>(stream), {} };
}

std::string siteFolder(const std::string& site) { return std::string(CHERVILPORT_SOURCE_DIR) + "/samples/" + site; }

// Returns the settings of all instances of a site; every error in them fails the test.
std::vector<settings> readSite(const std::string& site)
{
    std::vector<settings> all;
    for (const auto& file : std::filesystem::directory_iterator(siteFolder(site))) {
        if (file.path().extension() != ".toml" || file.path().filename() == "environment.toml")
            continue;
        const auto read = readSettingsFile(file.path().string());
        for (const auto& error : read.errors)
            cr_expect_fail("%s", describe(error).c_str());
        all.push_back(read.values);
    }
    return all;
}

void checkInstances(const std::string& site)
{
    const auto all = readSite(site);
    cr_assert_eq(all.size(), domainCount * instancesPerDomain);
    std::map<std::string, int> instances;
    std::map<std::string, int> disks;
    std::map<std::string, int> fleetVoters;
    std::map<std::uint64_t, int> ids;
    for (const auto& each : all) {
        ++ids[each.instanceId];
        ++instances[each.failureDomain];
        disks[each.failureDomain] += each.dataFolder.empty() ? 0 : 1;
        cr_expect_eq(each.clusterId, site);

        // The entry of the instance in the list must agree with the rest of its file.
        const auto own = std::find_if(each.instances.begin(), each.instances.end(),
            [&](const instance_address& listed) { return listed.id == each.instanceId; });
        cr_assert(own != each.instances.end());
        cr_expect_eq(own->http, each.httpListen);
        cr_expect_eq(own->peer, each.peerListen);
        cr_expect_eq(own->hasDisk, !each.dataFolder.empty());
        fleetVoters[each.failureDomain] += own->isFleetVoter ? 1 : 0;

        // All files must have the same list of instances.
        cr_assert_eq(each.instances.size(), all.front().instances.size());
        for (std::size_t i = 0; i < each.instances.size(); ++i) {
            const auto& left = each.instances[i];
            const auto& right = all.front().instances[i];
            cr_expect(left.id == right.id && left.failureDomain == right.failureDomain && left.http == right.http
                    && left.peer == right.peer && left.hasDisk == right.hasDisk
                    && left.isDomainVoter == right.isDomainVoter && left.isFleetVoter == right.isFleetVoter,
                "instance %llu has another list of instances", static_cast<unsigned long long>(each.instanceId));
        }
    }
    cr_expect_eq(ids.size(), all.size(), "an id is used twice");
    cr_assert_eq(instances.size(), domainCount);
    for (const auto& [domain, count] : instances) {
        cr_expect_eq(count, 3, "%s has %d instances", domain.c_str(), count);
        cr_expect_eq(disks[domain], 2, "%s has %d disks", domain.c_str(), disks[domain]);
        cr_expect_eq(fleetVoters[domain], 1, "%s has %d fleet voters", domain.c_str(), fleetVoters[domain]);
    }
}

domain_capacity capacityOf(const std::string& domain, const resources& worker)
{
    domain_capacity capacity { domain, {} };
    for (int first = 0; first < workersPerDomain; first += workersPerRack)
        capacity.groups.push_back(
            { first / workersPerRack, std::min(workersPerRack, workersPerDomain - first), worker });
    return capacity;
}

environment_config checkEnvironment(const std::string& site, const resources& worker)
{
    const auto parsed = parseEnvironment(readAll(siteFolder(site) + "/environment.toml"));
    for (const auto& problem : parsed.problems)
        cr_expect_fail("%s line %d: %s: %s", site.c_str(), problem.line, problem.key.c_str(), problem.allowed.c_str());
    cr_assert(parsed.config.has_value());
    std::vector<domain_capacity> capacities;
    for (const auto& domain : parsed.config->domains) {
        cr_expect_eq(domain.workspaces.size(), workspaceCount);
        capacities.push_back(capacityOf(domain.name, worker));
    }
    for (const auto& problem : proveGuarantees(*parsed.config, capacities))
        cr_expect_fail("%s: %s: %s", site.c_str(), problem.key.c_str(), problem.allowed.c_str());

    // The document must contain the failure domain of every instance.
    for (const auto& each : readSite(site)) {
        cr_expect(std::any_of(parsed.config->domains.begin(), parsed.config->domains.end(),
                      [&](const domain_config& domain) { return domain.name == each.failureDomain; }),
            "%s is missing in the environment", each.failureDomain.c_str());
    }
    return *parsed.config;
}

} // namespace

// Guards against a sample that the program refuses, or whose files disagree on the instances of the cluster.
Test(samples, nightlineInstancesAreValidAndAgree) { checkInstances("nightline"); }

Test(samples, ansanmInstancesAreValidAndAgree) { checkInstances("ansanm"); }

// Guards against a sample whose guarantees do not fit its workers: 51 workers, 17 per failure domain, each with 8
// accelerators, and 60 cores and 256 GB or 30 cores and 128 GB.
Test(samples, environmentsAreProvenAndDifferInWeight)
{
    const auto nightline = checkEnvironment("nightline", { 8, 60'000, 262'144 });
    const auto ansanm = checkEnvironment("ansanm", { 8, 30'000, 131'072 });
    cr_expect_lt(nightline.policy.fragmentationWeight, ansanm.policy.fragmentationWeight);
}
