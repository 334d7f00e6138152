#include "chervilport/instance/configuration_json.h"

#include "chervilport/core/chervilport_error.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace chervilport {

namespace {

    using nlohmann::json;

    constexpr std::size_t hashDigits = 16;
    constexpr std::array<std::string_view, 3> stepNames { "put", "proven", "promoted" };

    json toJson(const std::vector<config_problem>& problems)
    {
        auto list = json::array();
        for (const auto& problem : problems)
            list.push_back({ { "line", problem.line }, { "key", problem.key }, { "allowed", problem.allowed } });
        return list;
    }

    json toJson(const std::vector<document_difference>& differences)
    {
        auto list = json::array();
        for (const auto& difference : differences)
            list.push_back(
                { { "key", difference.key }, { "before", difference.before }, { "after", difference.after } });
        return list;
    }

    json toJson(const std::optional<configuration_version>& version)
    {
        if (!version)
            return nullptr;
        return { { "version", version->version }, { "hash", formatHash(version->hash) },
            { "document", version->document } };
    }

} // namespace

std::string formatHash(std::uint64_t hash)
{
    std::array<char, hashDigits> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), hash, hashDigits).ptr;
    const std::string text(digits.data(), end);
    return std::string(hashDigits - text.size(), '0') + text;
}

http_response resultToResponse(const configuration_result& result)
{
    json body { { "trial_version", result.trialVersion }, { "trial_hash", formatHash(result.trialHash) },
        { "production_version", result.productionVersion } };
    int status = 200;
    if (result.error) {
        const auto& properties = errorPropertiesOf(*result.error);
        status = properties.httpStatus;
        body["error"] = properties.name;
        body["message"] = result.message;
        body["outcome"] = toString(properties.outcome);
        body["problems"] = toJson(result.problems);
        body["differences"] = toJson(result.differences);
    }
    return { status, { { "Content-Type", "application/json" } }, body.dump() };
}

json configurationToJson(const configuration_state& state)
{
    return { { "trial", toJson(state.trial) }, { "trial_proven", state.trialProven },
        { "production", toJson(state.production) } };
}

json historyToJson(const configuration_state& state)
{
    auto list = json::array();
    for (auto change = state.history.rbegin(); change != state.history.rend(); ++change) {
        list.push_back({ { "step", stepNames[static_cast<std::size_t>(change->step)] }, { "version", change->version },
            { "hash", formatHash(change->hash) }, { "operator", change->operatorName }, { "unix_ms", change->unixMs },
            { "differences", toJson(change->differences) } });
    }
    return { { "history", std::move(list) } };
}

std::string encodeCapacity(const domain_capacity& capacity)
{
    auto groups = json::array();
    for (const auto& group : capacity.groups) {
        groups.push_back({ group.rackPosition, group.workers, group.capacity.accelerators, group.capacity.millicores,
            group.capacity.memoryMb });
    }
    return json { { "name", capacity.name }, { "groups", std::move(groups) } }.dump();
}

domain_capacity decodeCapacity(std::string_view text)
{
    try {
        const auto document = json::parse(text);
        domain_capacity capacity;
        capacity.name = document.at("name").get<std::string>();
        for (const auto& group : document.at("groups")) {
            capacity.groups.push_back({ group.at(0).get<std::int32_t>(), group.at(1).get<std::int32_t>(),
                { group.at(2).get<std::int32_t>(), group.at(3).get<std::int32_t>(),
                    group.at(4).get<std::int64_t>() } });
        }
        return capacity;
    } catch (const json::exception&) {
        throw chervilport_error(error_kind::Internal, "the capacity of a failure domain cannot be read");
    }
}

} // namespace chervilport
