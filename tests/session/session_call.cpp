#include "tests/session/session_call.h"

#include <curl/curl.h>

namespace chervilport {

namespace {

    // Ends a test that hangs; no check depends on the value.
    constexpr long timeoutSeconds = 120;

    std::size_t append(const char* data, std::size_t size, std::size_t count, void* target)
    {
        static_cast<std::string*>(target)->append(data, size * count);
        return size * count;
    }

} // namespace

session_response sendSessionCall(const session_call& call)
{
    session_response response;
    CURL* const handle = curl_easy_init();
    curl_slist* lines = nullptr;
    for (const auto& header : call.headers)
        lines = curl_slist_append(lines, header.c_str());
    curl_easy_setopt(handle, CURLOPT_URL, ("http://" + call.address + call.target).c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, lines);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT, timeoutSeconds);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, append);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &response.body);
    if (call.method != "GET" && call.method != "DELETE") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.c_str());
    }
    const auto code = curl_easy_perform(handle);
    response.connected = code != CURLE_COULDNT_CONNECT;
    if (code == CURLE_OK)
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &response.status);
    curl_slist_free_all(lines);
    curl_easy_cleanup(handle);
    return response;
}

} // namespace chervilport
