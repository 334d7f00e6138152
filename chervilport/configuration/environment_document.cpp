#include "chervilport/configuration/environment_document.h"

#include "chervilport/configuration/table_reader.h"

#include <algorithm>
#include <array>

namespace chervilport {

namespace {

    constexpr integer_range weightRange { 0, 1000 };
    constexpr integer_range startTimeoutMs { 1000, 600'000 };
    constexpr integer_range stopTimeoutMs { 100, 60'000 };
    constexpr integer_range attemptRange { 1, 100 };
    constexpr integer_range shapeCount { 1, 1000 };
    /// A gang has at most 64 tasks.
    constexpr integer_range taskRange { 1, 64 };
    constexpr integer_range acceleratorsPerTask { 0, 64 };
    constexpr integer_range millicoresPerTask { 0, 1'000'000 };
    constexpr integer_range memoryMbPerTask { 0, 16'777'216 };
    constexpr integer_range quotaRange { 0, 100'000 };
    /// -1 means unlimited.
    constexpr integer_range borrowedRange { -1, 100'000 };

    /// Names in the order of `adjacency`.
    constexpr std::array<std::string_view, 4> placements { "any", "adjacent_racks", "rack", "worker" };

    std::int32_t smallInteger(table_reader& reader, std::string_view key, const integer_range& range,
        std::optional<std::int64_t> fallback = std::nullopt)
    {
        return static_cast<std::int32_t>(reader.integer(key, range, fallback));
    }

    policy_config readPolicy(table_reader reader)
    {
        policy_config policy;
        policy.fragmentationWeight
            = smallInteger(reader, "fragmentation_weight", weightRange, policy.fragmentationWeight);
        const auto startMs = std::chrono::duration_cast<std::chrono::milliseconds>(policy.startTimeout).count();
        policy.startTimeout = std::chrono::milliseconds(reader.integer("start_timeout_ms", startTimeoutMs, startMs));
        const auto stopMs = std::chrono::duration_cast<std::chrono::milliseconds>(policy.stopTimeout).count();
        policy.stopTimeout = std::chrono::milliseconds(reader.integer("stop_timeout_ms", stopTimeoutMs, stopMs));
        policy.maxAttempts = smallInteger(reader, "max_attempts", attemptRange, policy.maxAttempts);
        reader.rejectUnknownKeys();
        return policy;
    }

    shape readShape(table_reader& reader)
    {
        shape read;
        read.count = smallInteger(reader, "count", shapeCount, 1);
        read.taskCount = smallInteger(reader, "tasks", taskRange);
        read.perTask.accelerators = smallInteger(reader, "accelerators", acceleratorsPerTask, 0);
        read.perTask.millicores = smallInteger(reader, "millicores", millicoresPerTask, 0);
        read.perTask.memoryMb = reader.integer("memory_mb", memoryMbPerTask, 0);
        read.placement = static_cast<adjacency>(reader.choice("placement", placements));
        if (read.perTask == resources {})
            reader.addProblem("", "a demand above 0 of accelerators, millicores or memory_mb");
        reader.rejectUnknownKeys();
        return read;
    }

    workspace_config readDomainOfWorkspace(table_reader& reader, const std::string& workspace)
    {
        workspace_config read;
        read.name = workspace;
        read.maxBorrowedAccelerators
            = smallInteger(reader, "max_borrowed_accelerators", borrowedRange, read.maxBorrowedAccelerators);
        for (auto& element : reader.tables("guarantee"))
            read.guarantee.push_back(readShape(element));
        for (auto& element : reader.tables("team")) {
            const auto team = element.name("name");
            read.teams.push_back({ team, smallInteger(element, "max_accelerators", quotaRange) });
            element.rejectUnknownKeys();
        }
        reader.rejectUnknownKeys();
        return read;
    }

    std::string domainList(const std::vector<domain_config>& domains)
    {
        std::string text = "one of";
        for (const auto& domain : domains)
            text += ' ' + domain.name;
        return text;
    }

    void readWorkspace(table_reader& reader, std::vector<domain_config>& domains)
    {
        const auto workspace = reader.name("name");
        for (auto& element : reader.tables("domain")) {
            const auto name = element.name("name");
            auto read = readDomainOfWorkspace(element, workspace);
            const auto domain = std::find_if(domains.begin(), domains.end(),
                [&name](const domain_config& candidate) { return candidate.name == name; });
            if (domain == domains.end())
                element.addProblem("name", domainList(domains));
            else
                domain->workspaces.push_back(std::move(read));
        }
        reader.rejectUnknownKeys();
    }

    environment_config readEnvironment(table_reader& reader)
    {
        environment_config read;
        auto environment = reader.table("environment");
        read.name = environment.name("name");
        for (auto& name : environment.names("failure_domains"))
            read.domains.push_back({ std::move(name), {} });
        environment.rejectUnknownKeys();
        read.policy = readPolicy(reader.table("policy"));
        for (auto& element : reader.tables("workspace"))
            readWorkspace(element, read.domains);
        reader.rejectUnknownKeys();
        return read;
    }

} // namespace

parsed_environment parseEnvironment(std::string_view document)
{
    parsed_environment parsed;
    try {
        const auto root = toml::parse(document);
        table_reader reader(root, {}, parsed.problems);
        parsed.config = readEnvironment(reader);
    } catch (const toml::parse_error& error) {
        const auto line = static_cast<std::int32_t>(error.source().begin.line);
        parsed.problems = { { line, {}, "valid TOML: " + std::string(error.description()) } };
    }
    if (!parsed.problems.empty())
        parsed.config.reset();
    std::stable_sort(parsed.problems.begin(), parsed.problems.end(),
        [](const config_problem& left, const config_problem& right) { return left.line < right.line; });
    return parsed;
}

} // namespace chervilport
