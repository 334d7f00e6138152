#include "chervilport/instance/configuration_controller.h"

#include "chervilport/configuration/configuration_codec.h"
#include "chervilport/core/chervilport_error.h"
#include "chervilport/http/error_response.h"
#include "chervilport/instance/configuration_json.h"
#include "chervilport/instance/domain_command.h"
#include "chervilport/instance/json_reader.h"
#include "chervilport/instance/monotonic_now.h"
#include "chervilport/instance/replica_group.h"
#include "chervilport/logging/log.h"

#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace chervilport {

namespace {

    constexpr std::string_view part = "configuration";
    constexpr std::string_view keyHeader = "Chervilport-Key";
    constexpr std::string_view operatorHeader = "Chervilport-Operator";
    constexpr std::string_view expectedHeader = "Chervilport-Expected-Version";
    constexpr std::size_t maxKeyBytes = 128;
    constexpr std::size_t maxHashDigits = 16;
    constexpr int hexBase = 16;

    http_response jsonResponse(int status, std::string body)
    {
        return { status, { { "Content-Type", "application/json" } }, std::move(body) };
    }

    std::uint64_t readNumber(std::string_view text, std::string_view name, int base = 10)
    {
        std::uint64_t number = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number, base);
        if (text.empty() || parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size())
            throw chervilport_error(error_kind::InvalidRequest, std::string(name) + " must be a whole number");
        return number;
    }

    configuration_command makeCommand(const http_request& request)
    {
        configuration_command command;
        command.operationKey = findHeader(request.headers, keyHeader);
        if (command.operationKey.empty() || command.operationKey.size() > maxKeyBytes) {
            throw chervilport_error(error_kind::InvalidRequest,
                std::string(keyHeader) + " of 1 to 128 bytes is required, so that the call can be resent");
        }
        command.operatorName = findHeader(request.headers, operatorHeader);
        if (command.operatorName.empty())
            command.operatorName = "unknown";
        const auto wall = wallNow().time_since_epoch();
        command.arrivedUnixMs = std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
        return command;
    }

    std::uint64_t readVersion(json_reader& reader)
    {
        const auto version = reader.optionalInteger("version", 1, std::numeric_limits<std::int64_t>::max());
        if (!version)
            throw chervilport_error(error_kind::InvalidRequest, "version is required");
        return static_cast<std::uint64_t>(*version);
    }

} // namespace

configuration_controller::configuration_controller(configuration_hooks hooks)
    : m_hooks(std::move(hooks))
{
}

void configuration_controller::attach(const std::shared_ptr<replica_group>& group) { m_group = group; }

void configuration_controller::apply(std::string_view payload)
{
    const auto decoded = decodeDomainCommand(payload);
    m_clock.observe(decoded.time);
    const auto command = decodeCommand(decoded.content);
    m_lastResult = applyCommand(m_state, command, m_clock.lastApplied());
    logInfo(part,
        "command " + command.operationKey + " of " + command.operatorName
            + (m_lastResult.error ? " refused: " + m_lastResult.message : std::string(" accepted")));
    adoptCommittedProduction();
}

std::string configuration_controller::takeSnapshot() const
{
    return encodeDomainCommand(
        { domain_command_kind::Scheduling, m_clock.lastApplied(), encodeConfigurationState(m_state) });
}

void configuration_controller::loadSnapshot(std::string_view data)
{
    const auto decoded = decodeDomainCommand(data);
    m_clock.observe(decoded.time);
    m_state = decodeConfigurationState(decoded.content);
    adoptCommittedProduction();
}

void configuration_controller::statusChanged(const replica_status& status)
{
    const bool leads = status.role == replica_role::Leader && status.ready;
    if (leads && !m_leading)
        m_clock.begin(wallNow(), monotonicNow());
    m_leading = leads;
}

void configuration_controller::adopt(const production_copy& copy)
{
    if (copy.version <= m_production.version)
        return;
    m_production = copy;
    logInfo(part, "version " + std::to_string(copy.version) + " adopted");
    m_hooks.productionChanged(m_production);
}

void configuration_controller::adoptCommittedProduction()
{
    if (m_state.production)
        adopt({ m_state.production->version, m_state.production->document });
}

void configuration_controller::serve(const http_request& request, std::string_view path, const reply_callback& reply)
{
    if (request.method == "GET" && path.empty())
        reply(jsonResponse(200, describe()));
    else if (request.method == "GET" && path == "/history")
        reply(jsonResponse(200, describeHistory()));
    else if (request.method == "PUT" && path == "/trial")
        put(request, reply);
    else if (request.method == "POST" && path == "/prove")
        prove(request, reply);
    else if (request.method == "POST" && path == "/promote")
        promote(request, reply);
    else
        throw chervilport_error(error_kind::NotFound, "there is nothing at this path");
}

void configuration_controller::put(const http_request& request, const reply_callback& reply)
{
    auto command = makeCommand(request);
    const auto expected = readNumber(findHeader(request.headers, expectedHeader), expectedHeader);
    command.action = put_trial { expected, request.body };
    submit(command, reply);
}

void configuration_controller::prove(const http_request& request, const reply_callback& reply)
{
    auto command = makeCommand(request);
    const auto document = parseJsonObject(request.body);
    json_reader reader(document, "");
    const auto version = readVersion(reader);
    reader.refuseUnknown();
    m_hooks.collectCapacity([weak = weak_from_this(), command, version, reply](std::vector<domain_capacity> capacity) {
        const auto self = weak.lock();
        if (!self)
            return;
        auto proven = command;
        proven.action = prove_trial { version, std::move(capacity) };
        self->submit(proven, reply);
    });
}

void configuration_controller::promote(const http_request& request, const reply_callback& reply)
{
    auto command = makeCommand(request);
    const auto document = parseJsonObject(request.body);
    json_reader reader(document, "");
    const auto version = readVersion(reader);
    const auto hash = readNumber(reader.requiredText("hash", maxHashDigits), "hash", hexBase);
    reader.refuseUnknown();
    command.action = promote_trial { version, hash };
    submit(command, reply);
}

void configuration_controller::submit(const configuration_command& command, const reply_callback& reply)
{
    const auto group = m_group.lock();
    if (!group)
        throw chervilport_error(error_kind::NotLeader, "this instance is not a member of the fleet log");
    const auto stamp = m_leading ? m_clock.stamp(monotonicNow()) : m_clock.lastApplied();
    auto payload = encodeDomainCommand({ domain_command_kind::Scheduling, stamp, encodeCommand(command) });
    group->propose(std::move(payload), [weak = weak_from_this(), reply](proposal_result result) {
        const auto self = weak.lock();
        if (!self || result == proposal_result::Unknown)
            reply(makeErrorResponse(error_kind::OutcomeUnknown, "leadership was lost; resend under the same key"));
        else if (result == proposal_result::NotCommitted)
            reply(makeErrorResponse(error_kind::NotLeader, "this instance does not lead the fleet log"));
        else
            reply(resultToResponse(self->m_lastResult));
    });
}

std::string configuration_controller::describe() const { return configurationToJson(m_state).dump(); }

std::string configuration_controller::describeHistory() const { return historyToJson(m_state).dump(); }

} // namespace chervilport
