#pragma once

#include "chervilport/requests/request_headers.h"
#include "chervilport/requests/request_pipeline.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chervilport {

/// A pipeline with a clock, executors and a claim log that the test controls. The executors are replaced at the
/// interface of the sender: a request stays pending until the test ends its attempt.
struct fake_domain {
    /// A request that was sent to an executor.
    struct pending_attempt {
        http_client_request outgoing;
        http_client::callback done;
    };

    /// A request of a caller and the responses to it.
    struct call {
        std::string key;
        bool isIdempotent = true;
        std::vector<http_response> responses;
    };

    explicit fake_domain(request_settings settings = {}, std::int32_t slots = 2, std::size_t executors = 3)
    {
        settings.owner = { "instance", 1 };
        for (std::size_t i = 0; i < executors; ++i) {
            const upstream_id id { "10.0.0." + std::to_string(i + 1) + ":80", 1 };
            mergeAnnouncement(routing.registry,
                { id, 1, upstream_state::Ready, upstream_kind::Executor, "seattle", "pairing", slots, 60 }, now);
            routing.slots.slots[id] = { slots, 0, log_time::max() };
        }
        routing.registry.settings.expiry = std::chrono::hours(1);
        request_dependencies dependencies;
        dependencies.now = [this] { return now; };
        dependencies.send = [this](http_client_request outgoing, http_client::callback done) {
            pending.push_back({ std::move(outgoing), std::move(done) });
        };
        dependencies.claims.submit = [this](const claim_step& step, log_duration, const auto& done) {
            claim_store_reply reply;
            if (claimFaults == 0)
                claimFault.clear();
            --claimFaults;
            const bool isCommitted = claimFault != "not committed";
            const auto applied = isCommitted ? applyClaimStep(claims, step, now) : claim_reply {};
            if (isCommitted && claimFault != "reply lost")
                reply.reply = applied;
            done(reply);
        };
        pipeline = std::make_shared<request_pipeline>(std::move(settings), routing, std::move(dependencies));
    }

    /// Sends a request and returns its number among the calls. By default that number is its body.
    std::size_t send(bool isIdempotent = true, const std::string& key = {}, const std::string& deadlineMs = "10000",
        const std::string& body = {})
    {
        const auto number = calls.size();
        calls.push_back({ key, isIdempotent, {} });
        http_request request { "POST", "/v1/requests/pairing/run", {}, body.empty() ? std::to_string(number) : body };
        request.headers = { { "Chervilport-Workspace", "rail" }, { "Chervilport-Deadline-Ms", deadlineMs },
            { "Chervilport-Idempotent", isIdempotent ? "true" : "false" }, { "Chervilport-Key", key } };
        pipeline->handle(std::move(request), http_responder([this, number](http_response response) {
            calls[number].responses.push_back(std::move(response));
        }));
        return number;
    }

    /// Ends a pending attempt with the given result.
    void end(std::size_t index, http_result result)
    {
        const auto attempt = std::move(pending.at(index));
        pending.erase(pending.begin() + static_cast<std::ptrdiff_t>(index));
        attempt.done(std::move(result));
    }

    /// Simulates an executor that runs the request and responds.
    void respond(std::size_t index, int status = 200)
    {
        const auto& outgoing = pending.at(index).outgoing;
        ++runs[outgoing.request.body];
        const auto attempt = std::string(findHeader(outgoing.request.headers, header_names::attempt));
        end(index,
            { http_delivery::Complete, http_failure::None,
                { status, { { "Chervilport-Attempt", attempt } }, "result of " + outgoing.request.body }, {} });
    }

    /// Simulates an executor that refuses the request before running it.
    void refuse(std::size_t index)
    {
        end(index,
            { http_delivery::Complete, http_failure::None, { 503, { { "Chervilport-Outcome", "not_run" } }, "" }, {} });
    }

    /// Ends the attempt without a response.
    void fail(std::size_t index, http_delivery delivery, http_failure failure)
    {
        end(index, { delivery, failure, {}, "fault" });
    }

    /// Returns the body of the only response to a call; empty if there is none or more than one.
    std::string responseBodyOf(std::size_t number) const
    {
        return calls.at(number).responses.size() == 1 ? calls.at(number).responses.front().body : std::string();
    }

    /// Returns whether the only response to a call is an error of the given name.
    bool hasError(std::size_t number, const std::string& name) const
    {
        return responseBodyOf(number).find("\"error\":\"" + name + "\"") != std::string::npos;
    }

    log_time now = log_time(std::chrono::seconds(100));
    routing_state routing;
    claim_state claims;
    std::string claimFault;
    int claimFaults = -1;
    std::vector<pending_attempt> pending;
    std::vector<call> calls;
    std::map<std::string, int> runs;
    std::shared_ptr<request_pipeline> pipeline;
};

} // namespace chervilport
