#include "tests/session/session_cluster.h"

#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>

using namespace chervilport;

namespace {

constexpr int done = 0;
constexpr int invalidRequest = 2;
constexpr int notFound = 4;
constexpr int versionConflict = 5;
constexpr int infeasible = 6;
constexpr int unavailable = 7;

// Runs the command line program and returns its exit code. Its build folder is next to that of chervilportd.
int run(const std::string& instance, const std::vector<std::string>& arguments)
{
    const auto apps = std::filesystem::path(CHERVILPORTD_PATH).parent_path().parent_path();
    std::vector<std::string> all { "--instance", instance };
    all.insert(all.end(), arguments.begin(), arguments.end());
    child_process process((apps / "chervilport" / "chervilport").string(), all);
    return process.wait();
}

std::string writeDocument(const session_cluster& cluster, const std::string& name, const std::string& workspace)
{
    std::string path = cluster.folder() + "/" + name;
    std::ofstream(path) << "[environment]\nname = \"local\"\nfailure_domains = [\"local\"]\n"
                        << "[[workspace]]\nname = \"rosters\"\n[[workspace.domain]]\nname = \"local\"\n"
                        << workspace;
    return path;
}

nlohmann::json configuration(const session_cluster& cluster)
{
    return sendSessionCall({ "GET", cluster.address(1), "/v1/config", {}, {} }).json();
}

} // namespace

// Guards against a change that is sent with another version or key than the operator gave, and against an exit code of
// success for a refused change.
Test(commandLine, configurationChangesAndTheirExitCodes)
{
    session_cluster cluster({ { 1, "local", true, true } });
    cluster.startAll();
    const auto address = cluster.address(1);
    const auto valid = writeDocument(cluster, "valid.toml", "max_borrowed_accelerators = 8\n");
    const auto other = writeDocument(cluster, "other.toml", "max_borrowed_accelerators = 9\n");
    const auto invalid = writeDocument(cluster, "invalid.toml", "max_borrowed = 8\n");
    const auto tooLarge = writeDocument(cluster, "large.toml",
        "[[workspace.domain.guarantee]]\ntasks = 1\naccelerators = 1\nmillicores = 1000\nmemory_mb = 1024\n");

    cr_expect_eq(run(address, { "config", "show" }), notFound);
    cr_expect_eq(run(address, { "config", "put", valid }), invalidRequest, "the expected version is missing");
    cr_expect_eq(run(address, { "config", "put", "--expected-version", "0", invalid }), invalidRequest);
    cr_expect_eq(run(address, { "config", "put", "--expected-version", "0", "--key", "k", valid }), done);
    cr_expect_eq(run(address, { "config", "put", "--expected-version", "0", "--key", "k", valid }), done, "resend");
    cr_expect_eq(run(address, { "config", "put", "--expected-version", "0", other }), versionConflict);
    cr_expect_eq(run(address, { "config", "put", "--expected-version", "0", "--key", "k", other }), versionConflict);
    const auto hash = configuration(cluster)["trial"]["hash"].get<std::string>();
    cr_expect_eq(run(address, { "config", "prove", "--expected-version", "1" }), done);
    cr_expect_eq(run(address, { "config", "promote", "--expected-version", "1", "--hash", "00000000000000ff" }),
        versionConflict);
    cr_expect_eq(run(address, { "config", "promote", "--expected-version", "1" }), invalidRequest, "no hash");
    cr_expect_eq(run(address, { "config", "promote", "--expected-version", "1", "--hash", hash }), done);
    cr_expect_eq(configuration(cluster)["production"]["version"], 1);
    cr_expect_eq(run(address, { "config", "show" }), done);
    cr_expect_eq(run(address, { "config", "history" }), done);
    cr_expect_eq(run(address, { "--json", "config", "status" }), done);
    cr_expect_eq(run(address, { "config", "put", "--expected-version", "1", "--operator", "ana", tooLarge }), done);
    cr_expect_eq(run(address, { "config", "prove", "--expected-version", "2" }), infeasible, "there is no worker");
}

// Guards against a drain of an unknown upstream that reports success, and against invalid arguments that are sent.
Test(commandLine, upstreamsAndTheirExitCodes)
{
    session_cluster cluster({ { 1, "local", true, true } });
    cluster.startAll();
    cluster.startStandin(STANDIN_EXECUTOR_PATH, { 1 }, {});
    const auto address = cluster.address(1);
    const auto upstreams = [&] {
        return sendSessionCall({ "GET", address, "/v1/upstreams", {}, {} }).json().at("upstreams");
    };
    waitUntil("the instance lists the executor", [&] { return upstreams().size() == 1; });
    cr_expect_eq(run(address, { "upstream", "list" }), done);
    cr_expect_eq(run(address, { "upstream", "drain" }), invalidRequest);
    cr_expect_eq(run(address, { "upstream", "drain", "127.0.0.1:1" }), notFound);
    cr_expect_eq(run(address, { "upstream", "drain", upstreams()[0]["address"].get<std::string>() }), done);
    cr_expect_eq(upstreams()[0]["state"], "drained");
    cr_expect_eq(run("127.0.0.1:1", { "upstream", "list" }), unavailable);
}
