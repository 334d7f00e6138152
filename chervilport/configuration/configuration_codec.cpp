#include "chervilport/configuration/configuration_codec.h"

#include "chervilport/core/chervilport_error.h"

#include <array>
#include <nlohmann/json.hpp>

namespace chervilport {

namespace {

    using nlohmann::json;

    /// Parses CBOR and calls a decoder. Throws chervilport_error of kind StorageFailure on errors of the JSON library.
    template <typename Decode> auto decodeCbor(std::string_view bytes, Decode decode)
    {
        try {
            return decode(json::from_cbor(bytes.begin(), bytes.end()));
        } catch (const json::exception& error) {
            throw chervilport_error(
                error_kind::StorageFailure, std::string("stored configuration is damaged: ") + error.what());
        }
    }

    std::string bytesOf(const json& value)
    {
        std::string bytes;
        json::to_cbor(value, bytes);
        return bytes;
    }

    /// Encodes text as a byte string, because it may be invalid UTF-8.
    json toBytes(const std::string& text) { return json::binary({ text.begin(), text.end() }); }

    std::string fromBytes(const json& value)
    {
        const auto& bytes = value.get_binary();
        return { bytes.begin(), bytes.end() };
    }

    template <typename Items, typename Encode> json listOf(const Items& items, Encode encode)
    {
        json list = json::array();
        for (const auto& item : items)
            list.push_back(encode(item));
        return list;
    }

    template <typename Items, typename Decode> Items itemsOf(const json& list, Decode decode)
    {
        Items items;
        for (const auto& value : list)
            items.push_back(decode(value));
        return items;
    }

    template <typename Enum> Enum enumOf(const json& value, Enum last)
    {
        const auto number = value.get<std::uint8_t>();
        if (number > static_cast<std::uint8_t>(last))
            throw chervilport_error(error_kind::StorageFailure,
                "stored configuration contains the unknown enumerator " + std::to_string(number));
        return static_cast<Enum>(number);
    }

    json encodeGroup(const worker_group& group)
    {
        return { { "rack", group.rackPosition }, { "workers", group.workers },
            { "accelerators", group.capacity.accelerators }, { "millicores", group.capacity.millicores },
            { "memory_mb", group.capacity.memoryMb } };
    }

    worker_group decodeGroup(const json& value)
    {
        const resources capacity { value.at("accelerators"), value.at("millicores"), value.at("memory_mb") };
        return { value.at("rack"), value.at("workers"), capacity };
    }

    json encodeCapacity(const domain_capacity& domain)
    {
        return { { "name", toBytes(domain.name) }, { "groups", listOf(domain.groups, encodeGroup) } };
    }

    domain_capacity decodeCapacity(const json& value)
    {
        return { fromBytes(value.at("name")), itemsOf<std::vector<worker_group>>(value.at("groups"), decodeGroup) };
    }

    json encodeDifference(const document_difference& difference)
    {
        return { { "key", toBytes(difference.key) }, { "before", toBytes(difference.before) },
            { "after", toBytes(difference.after) } };
    }

    document_difference decodeDifference(const json& value)
    {
        return { fromBytes(value.at("key")), fromBytes(value.at("before")), fromBytes(value.at("after")) };
    }

    json encodeProblem(const config_problem& problem)
    {
        return { { "line", problem.line }, { "key", toBytes(problem.key) }, { "allowed", toBytes(problem.allowed) } };
    }

    config_problem decodeProblem(const json& value)
    {
        return { value.at("line"), fromBytes(value.at("key")), fromBytes(value.at("allowed")) };
    }

    json encodeResult(const configuration_result& result)
    {
        json value { { "message", toBytes(result.message) }, { "trial", result.trialVersion },
            { "hash", result.trialHash }, { "production", result.productionVersion },
            { "problems", listOf(result.problems, encodeProblem) },
            { "differences", listOf(result.differences, encodeDifference) } };
        // Store the name, because the number may change when error kinds are added.
        if (result.error)
            value["error"] = errorPropertiesOf(*result.error).name;
        return value;
    }

    configuration_result decodeResult(const json& value)
    {
        configuration_result result;
        if (value.contains("error")) {
            result.error = errorKindFromName(value.at("error").get<std::string>());
            if (!result.error)
                throw chervilport_error(error_kind::StorageFailure,
                    "stored configuration contains the unknown error kind " + value.at("error").get<std::string>());
        }
        result.message = fromBytes(value.at("message"));
        result.trialVersion = value.at("trial");
        result.trialHash = value.at("hash");
        result.productionVersion = value.at("production");
        result.problems = itemsOf<std::vector<config_problem>>(value.at("problems"), decodeProblem);
        result.differences = itemsOf<std::vector<document_difference>>(value.at("differences"), decodeDifference);
        return result;
    }

    json encodeVersion(const std::optional<configuration_version>& version)
    {
        if (!version)
            return nullptr;
        return { { "version", version->version }, { "hash", version->hash },
            { "document", toBytes(version->document) } };
    }

    std::optional<configuration_version> decodeVersion(const json& value)
    {
        if (value.is_null())
            return std::nullopt;
        return configuration_version { value.at("version"), value.at("hash"), fromBytes(value.at("document")) };
    }

    json encodeChange(const configuration_change& change)
    {
        return { { "step", static_cast<std::uint8_t>(change.step) }, { "version", change.version },
            { "hash", change.hash }, { "operator", toBytes(change.operatorName) }, { "unix_ms", change.unixMs },
            { "differences", listOf(change.differences, encodeDifference) } };
    }

    configuration_change decodeChange(const json& value)
    {
        return { enumOf(value.at("step"), configuration_step::Promoted), value.at("version"), value.at("hash"),
            fromBytes(value.at("operator")), value.at("unix_ms"),
            itemsOf<std::vector<document_difference>>(value.at("differences"), decodeDifference) };
    }

    json encodeOperation(const operation_record& operation)
    {
        return { { "key", toBytes(operation.key) }, { "content", operation.contentHash },
            { "at_us", operation.completedAt.time_since_epoch().count() },
            { "answer", encodeResult(operation.result) } };
    }

    operation_record decodeOperation(const json& value)
    {
        return { fromBytes(value.at("key")), value.at("content"),
            log_time { log_duration { value.at("at_us").get<log_duration::rep>() } },
            decodeResult(value.at("answer")) };
    }

    json encodeAction(const put_trial& action)
    {
        return { { "expected", action.expectedVersion }, { "document", toBytes(action.document) } };
    }

    json encodeAction(const prove_trial& action)
    {
        return { { "version", action.version }, { "capacity", listOf(action.capacity, encodeCapacity) } };
    }

    json encodeAction(const promote_trial& action)
    {
        return { { "version", action.version }, { "hash", action.hash } };
    }

    constexpr const char* putName = "put";
    constexpr const char* proveName = "prove";
    constexpr const char* promoteName = "promote";
    /// Names in the order of the alternatives of `configuration_command::action`.
    constexpr std::array actionNames { putName, proveName, promoteName };

    configuration_command decodeCommandValue(const json& value)
    {
        configuration_command command;
        command.operationKey = fromBytes(value.at("key"));
        command.operatorName = fromBytes(value.at("operator"));
        command.arrivedUnixMs = value.at("unix_ms");
        if (value.contains(putName)) {
            const auto& action = value.at(putName);
            command.action = put_trial { action.at("expected"), fromBytes(action.at("document")) };
        } else if (value.contains(proveName)) {
            const auto& action = value.at(proveName);
            command.action = prove_trial { action.at("version"),
                itemsOf<std::vector<domain_capacity>>(action.at("capacity"), decodeCapacity) };
        } else {
            const auto& action = value.at(promoteName);
            command.action = promote_trial { action.at("version"), action.at("hash") };
        }
        return command;
    }

    configuration_state decodeStateValue(const json& value)
    {
        configuration_state state;
        state.lastVersion = value.at("last_version");
        state.trial = decodeVersion(value.at("trial"));
        state.trialProven = value.at("proven");
        state.production = decodeVersion(value.at("production"));
        state.history = itemsOf<std::deque<configuration_change>>(value.at("history"), decodeChange);
        state.operations = itemsOf<std::deque<operation_record>>(value.at("operations"), decodeOperation);
        return state;
    }

} // namespace

std::string encodeCommand(const configuration_command& command)
{
    json value { { "key", toBytes(command.operationKey) }, { "operator", toBytes(command.operatorName) },
        { "unix_ms", command.arrivedUnixMs } };
    value[actionNames.at(command.action.index())]
        = std::visit([](const auto& action) { return encodeAction(action); }, command.action);
    return bytesOf(value);
}

configuration_command decodeCommand(std::string_view bytes) { return decodeCbor(bytes, decodeCommandValue); }

std::string encodeConfigurationState(const configuration_state& state)
{
    return bytesOf({ { "last_version", state.lastVersion }, { "trial", encodeVersion(state.trial) },
        { "proven", state.trialProven }, { "production", encodeVersion(state.production) },
        { "history", listOf(state.history, encodeChange) },
        { "operations", listOf(state.operations, encodeOperation) } });
}

configuration_state decodeConfigurationState(std::string_view bytes) { return decodeCbor(bytes, decodeStateValue); }

} // namespace chervilport
