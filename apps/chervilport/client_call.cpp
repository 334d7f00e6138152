#include "apps/chervilport/client_call.h"

#include "apps/chervilport/client_options.h"
#include "chervilport/core/chervilport_error.h"

#include <curl/curl.h>
#include <memory>
#include <nlohmann/json.hpp>

namespace chervilport {

namespace {

    struct curl_deleter {
        void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
        void operator()(curl_slist* list) const { curl_slist_free_all(list); }
    };

    std::size_t appendBody(const char* data, std::size_t size, std::size_t count, void* target)
    {
        static_cast<std::string*>(target)->append(data, size * count);
        return size * count;
    }

    bool isConnectFailure(CURLcode code) { return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST; }

    // Sends one call to one instance and returns the transfer code. `response` is complete only for CURLE_OK.
    CURLcode perform(
        const client_options& options, const client_call& call, const std::string& instance, client_response& response)
    {
        // Build the header lines.
        const std::unique_ptr<CURL, curl_deleter> handle(curl_easy_init());
        curl_slist* lines = curl_slist_append(nullptr, "Content-Type: application/json");
        lines = curl_slist_append(lines, ("Chervilport-Deadline-Ms: " + std::to_string(options.timeoutMs)).c_str());
        if (!options.token.empty())
            lines = curl_slist_append(lines, ("Authorization: Bearer " + options.token).c_str());
        for (const auto& header : call.headers)
            lines = curl_slist_append(lines, header.c_str());
        const std::unique_ptr<curl_slist, curl_deleter> ownedLines(lines);

        // Set the options of the transfer.
        curl_easy_setopt(handle.get(), CURLOPT_URL, ("http://" + instance + call.target).c_str());
        curl_easy_setopt(handle.get(), CURLOPT_CUSTOMREQUEST, call.method.c_str());
        curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, ownedLines.get());
        curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(options.timeoutMs));
        curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
        curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, appendBody);
        curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &response.body);
        if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
            curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, call.body.c_str());
            curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
        }

        // Run the transfer.
        const auto code = curl_easy_perform(handle.get());
        curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &response.status);
        return code;
    }

} // namespace

client_response sendCall(const client_options& options, const client_call& call)
{
    std::string reason = "no instance was given";
    for (const auto& instance : options.instances) {
        client_response response;
        const auto code = perform(options, call, instance, response);
        if (code == CURLE_OK)
            return response;
        reason = instance + ": " + curl_easy_strerror(code);
        // Retry on another instance only if the call was certainly not sent, so that it does not run twice.
        if (!isConnectFailure(code))
            throw chervilport_error(error_kind::OutcomeUnknown, reason);
    }
    throw chervilport_error(error_kind::Unavailable, "no instance can be reached: " + reason);
}

client_response sendCallOrThrow(const client_options& options, const client_call& call)
{
    auto response = sendCall(options, call);
    if (isErrorResponse(response))
        throwErrorResponse(response);
    return response;
}

bool isErrorResponse(const client_response& response)
{
    constexpr long firstErrorStatus = 400;
    return response.status >= firstErrorStatus;
}

void throwErrorResponse(const client_response& response)
{
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (body.is_object()) {
        const auto kind = errorKindFromName(body.value("error", ""));
        if (kind)
            throw chervilport_error(*kind, body.value("message", ""));
    }
    throw chervilport_error(
        error_kind::Internal, "the instance returned HTTP status " + std::to_string(response.status));
}

std::string escapeQuery(const std::string& text)
{
    constexpr std::string_view unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string escaped;
    for (const char each : text) {
        if (unreserved.find(each) != std::string_view::npos) {
            escaped += each;
            continue;
        }
        const auto byte = static_cast<unsigned char>(each);
        escaped += '%';
        escaped += digits[byte >> 4U];
        escaped += digits[byte & 0xfU];
    }
    return escaped;
}

} // namespace chervilport
