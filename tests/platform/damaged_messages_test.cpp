#include "chervilport/batch/batch_apply.h"
#include "chervilport/batch/batch_codec.h"
#include "chervilport/batch/config_check.h"
#include "chervilport/batch/scheduling_pass.h"
#include "chervilport/core/chervilport_error.h"
#include "platform/config_wire.h"
#include "platform/job_wire.h"
#include "platform/worker_wire.h"

#include <criterion/criterion.h>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace chervilport;
using namespace chervilport::platform;
using nlohmann::json;

namespace {

const worker_target target { "10.128.0.9:8080", "i-7f3a91c2" };
constexpr const char* jobId = "5c0e7a21d94b36f8";

json goldenDocument(const std::string& name)
{
    std::ifstream file(std::string(CHERVILPORT_SOURCE_DIR) + "/tests/platform/golden/" + name);
    cr_assert(file.good(), "missing %s", name.c_str());
    return json::parse(file);
}

/// Values of all types, and numbers at the ends of their ranges.
const std::vector<json>& damagedValues()
{
    static const std::vector<json> values { nullptr, true, 0, -1, 1.5, 1e300, 4'294'967'296,
        std::numeric_limits<std::int64_t>::min(), std::numeric_limits<std::int64_t>::max(),
        std::numeric_limits<std::uint64_t>::max(), "", "x", std::string(5'000, 'y'), json::array(), json::object(),
        json::array({ json::array() }), json { { "count", 3 } } };
    return values;
}

/// Calls a function with each document in which one value of the golden file, at any depth, is damaged or missing.
/// It may throw chervilport_error; any other exception fails the test.
void checkDamaged(const std::string& name, const std::function<void(const std::string&)>& read)
{
    const auto document = goldenDocument(name);
    std::vector<json::json_pointer> places;
    const std::function<void(const json&, const json::json_pointer&)> collect
        = [&](const json& value, const json::json_pointer& place) {
              places.push_back(place);
              for (const auto& [key, child] : value.items()) {
                  if (value.is_object())
                      collect(child, place / key);
                  else if (value.is_array())
                      collect(child, place / std::stoul(key));
              }
          };
    collect(document, json::json_pointer());
    for (const auto& place : places) {
        for (const auto& value : damagedValues()) {
            auto damaged = document;
            damaged[place] = value;
            try {
                read(damaged.dump());
            } catch (const chervilport_error&) {
                continue;
            } catch (const std::exception& error) {
                cr_assert_fail(
                    "%s%s = %.80s: %s", name.c_str(), place.to_string().c_str(), value.dump().c_str(), error.what());
            }
        }
    }
}

/// A site that is configured by the golden configuration and has one worker.
batch::batch_state configuredSite()
{
    batch::batch_state state;
    batch::applyBatch(
        state, { 1'000, { batch::config_applied { readSiteConfig(goldenDocument("config.json").dump()) } } });
    auto report = readHeartbeat("i-7f3a91c2", goldenDocument("heartbeat.json").dump());
    report.service = state.config.services.front();
    batch::applyBatch(state, { 1'000, { batch::worker_reported { report } } });
    return state;
}

/// Plans a pass in which all workers are usable, and applies it.
void planAndApply(batch::batch_state& state)
{
    std::map<batch::worker_number, batch::worker_condition> conditions;
    for (const auto& [number, worker] : state.workers)
        conditions[number] = { true, 0 };
    batch::scheduler_state schedulerState;
    for (const auto& each : batch::planPass(state, conditions, schedulerState, {}, 2'000).assigned)
        batch::applyBatch(state, { 2'000, { each } });
}

} // namespace

// Guards against a damaged submission that ends the process when it is read, stored or placed.
Test(damagedMessages, submissionsEndNoProcess)
{
    checkDamaged("submission.json", [](const std::string& body) {
        const auto request = readJobRequest(jobId, body);
        auto state = configuredSite();
        batch::applyBatch(state, { 1'000, { batch::job_submitted { request, state.config.queues.front(), "w" } } });
        state = batch::decodeState(batch::encodeState(state));
        planAndApply(state);
    });
}

// Guards against a damaged configuration that ends the process when it is read or checked.
Test(damagedMessages, configurationsEndNoProcess)
{
    checkDamaged("config.json", [](const std::string& body) { batch::findConfigFaults(readSiteConfig(body)); });
}

// Guards against a damaged heartbeat that ends the process when it is read, stored or used.
Test(damagedMessages, heartbeatsEndNoProcess)
{
    checkDamaged("heartbeat.json", [](const std::string& body) {
        const auto report = readHeartbeat("i-7f3a91c2", body);
        auto state = configuredSite();
        batch::applyBatch(state, { 1'000, { batch::worker_reported { report } } });
        state = batch::decodeState(batch::encodeState(state));
        planAndApply(state);
    });
}

// Guards against a damaged response of a worker that ends the process.
Test(damagedMessages, responsesOfWorkersEndNoProcess)
{
    checkDamaged("look-answer.json", [](const std::string& body) { readPollResponse(body, target); });
    for (const int status : { 200, 400, 409, 503 })
        checkDamaged("look-answer.json", [status](const std::string& body) { readResult(status, body); });
}

// Guards against a heartbeat of another writer that passes for one of a worker: each documented field is missing once,
// and once of another type.
Test(damagedMessages, heartbeatWithoutADocumentedFieldIsRefused)
{
    const auto good = goldenDocument("heartbeat.json");
    for (const auto* const key : { "service", "address", "zone", "version", "slots", "state", "cold_left_ms",
             "capacity", "labels", "clock_ms", "seq" }) {
        auto damaged = good;
        damaged.erase(key);
        cr_assert_throw(readHeartbeat("i", damaged.dump()), chervilport_error, "%s is missing", key);
        damaged[key] = true;
        cr_assert_throw(readHeartbeat("i", damaged.dump()), chervilport_error, "%s is a boolean", key);
    }
    for (const auto* const key : { "cpu", "mem_mb", "gpu" }) {
        auto damaged = good;
        damaged["capacity"].erase(key);
        cr_assert_throw(readHeartbeat("i", damaged.dump()), chervilport_error, "%s is missing", key);
    }
}

// Guards against a heartbeat of another writer that takes an executor in use for replaced, so that its tasks run twice:
// a number of it is a text.
Test(damagedMessages, heartbeatWithATextForANumberIsRefused)
{
    const auto good = goldenDocument("heartbeat.json");
    for (const auto* const place : { "/capacity/cpu", "/capacity/mem_mb", "/capacity/gpu", "/seq", "/born", "/slots",
             "/cold_left_ms", "/drain_remaining_ms", "/clock_ms" }) {
        auto damaged = good;
        damaged[json::json_pointer(place)] = "482113";
        cr_assert_throw(readHeartbeat("i", damaged.dump()), chervilport_error, "%s", place);
    }
}

// Guards against a heartbeat with a number out of range, such as a port, that is stored and stops the members that read
// it, or whose sums overflow.
Test(damagedMessages, heartbeatWithANumberOutOfRangeIsRefused)
{
    const auto good = goldenDocument("heartbeat.json");
    for (const auto* const address : { "10.128.0.9:70000", "10.128.0.9:0", "10.128.0.9:-1", "10.128.0.9:99999999999",
             "10.128.0.9", "host.example:80", "999.1.1.1:80", ":80" }) {
        auto damaged = good;
        damaged["address"] = address;
        cr_assert_throw(readHeartbeat("i", damaged.dump()), chervilport_error, "%s", address);
    }
    const std::vector<json> numbers { -1, 1.5, 1e300, std::numeric_limits<std::int64_t>::max(),
        std::numeric_limits<std::uint64_t>::max() };
    for (const auto& number : numbers) {
        for (const auto* const place : { "/capacity/cpu", "/capacity/mem_mb", "/capacity/gpu", "/seq", "/born",
                 "/slots", "/cold_left_ms", "/drain_remaining_ms", "/clock_ms" }) {
            auto damaged = good;
            damaged[json::json_pointer(place)] = number;
            cr_assert_throw(
                readHeartbeat("i", damaged.dump()), chervilport_error, "%s = %s", place, number.dump().c_str());
        }
    }
}

// Guards against a message of a few megabytes that needs hundreds of megabytes once it is parsed, so that each process
// that reads it is killed for its memory.
Test(damagedMessages, deeplyNestedMessagesAreRefused)
{
    constexpr std::size_t depth = std::size_t { 1 } << 21;
    const auto nested = std::string(depth, '[') + std::string(depth, ']');
    const auto body = R"({"seq":1,"other":)" + nested + '}';
    cr_assert_throw(readHeartbeat("i", body), chervilport_error);
    cr_assert_throw(readJobRequest(jobId, body), chervilport_error);
    cr_assert_throw(readSiteConfig(body), chervilport_error);
    cr_assert_throw(readPollResponse(body, target), chervilport_error);
    cr_assert(readResult(200, body).reply == worker_reply::Done);
    cr_assert_not(readResult(200, body).clockMs.has_value());
    const auto heartbeat = goldenDocument("heartbeat.json").dump();
    const auto longHeartbeat
        = heartbeat.substr(0, heartbeat.size() - 1) + R"(,"more":")" + std::string(100'000, 'x') + "\"}";
    cr_assert_throw(readHeartbeat("i", longHeartbeat), chervilport_error);
}

// Guards against numbers of runs and ends that are cut to 32 bits or read as huge ones: an end with number -1 would
// acknowledge all ends that the worker will ever list.
Test(damagedMessages, rowsWithNumbersOutOfRangeAreLeftOut)
{
    const auto response = readPollResponse(R"({"clock_ms":1,"running":[["5c0e7a21d94b36f8.0.0.0",4294967297,"",0],)"
                                           R"(["5c0e7a21d94b36f8.0.0.0",-1,"",0]],)"
                                           R"("finished":[[-1,"5c0e7a21d94b36f8.0.0.0",1,"done",""]]})",
        target);
    cr_assert(response.running.empty());
    cr_assert(response.ended.empty());
}
