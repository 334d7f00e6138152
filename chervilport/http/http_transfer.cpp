#include "chervilport/http/http_transfer.h"

#include "chervilport/http/curl_sockets.h"

#include <algorithm>
#include <utility>

namespace chervilport {

namespace {

    /// Maximum size of a response header in bytes.
    constexpr std::size_t maxResponseHeaderBytes = 64U << 10U;
    constexpr int firstFinalStatus = 200;
    constexpr int statusNoContent = 204;
    constexpr int statusNotModified = 304;

    std::string_view trimmed(std::string_view text)
    {
        constexpr std::string_view space = " \t\r\n";
        const auto first = text.find_first_not_of(space);
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(space) - first + 1);
    }

} // namespace

http_transfer::http_transfer(
    http_client::request_id id, CURL* easy, http_client_request request, http_client::callback callback)
    : m_id(id)
    , m_easy(easy)
    , m_request(std::move(request))
    , m_callback(std::move(callback))
    , m_error(CURL_ERROR_SIZE, '\0')
{
}

http_transfer::~http_transfer() { curl_slist_free_all(m_headers); }

http_client::callback http_transfer::takeCallback() { return std::exchange(m_callback, nullptr); }

void http_transfer::prepare(curl_sockets& sockets, std::chrono::milliseconds connectTimeout)
{
    m_sockets = &sockets;
    curl_easy_setopt(m_easy, CURLOPT_PRIVATE, this);
    curl_easy_setopt(m_easy, CURLOPT_ERRORBUFFER, m_error.data());
    curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_easy, CURLOPT_NOPROGRESS, 1L);
    // Proxies from the environment and redirects must not send the request to another address.
    curl_easy_setopt(m_easy, CURLOPT_PROXY, "");
    curl_easy_setopt(m_easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(m_easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(m_easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(m_easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connectTimeout.count()));
    // libcurl interprets 0 as no timeout.
    const auto timeout = std::max<std::chrono::milliseconds::rep>(m_request.timeout.count(), 1);
    curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout));
    curl_easy_setopt(m_easy, CURLOPT_FRESH_CONNECT, m_request.reuseConnection ? 0L : 1L);
    curl_easy_setopt(m_easy, CURLOPT_PREREQFUNCTION, &http_transfer::onBeforeRequest);
    curl_easy_setopt(m_easy, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, &http_transfer::onHeader);
    curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &http_transfer::onBody);
    curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_OPENSOCKETFUNCTION, &http_transfer::openSocket);
    curl_easy_setopt(m_easy, CURLOPT_OPENSOCKETDATA, &sockets);
    curl_easy_setopt(m_easy, CURLOPT_CLOSESOCKETFUNCTION, &http_transfer::closeSocket);
    curl_easy_setopt(m_easy, CURLOPT_CLOSESOCKETDATA, &sockets);
    setMessage();
    setHeaders();
}

void http_transfer::setMessage()
{
    const auto& request = m_request.request;
    const auto url = "http://" + m_request.address + "/";
    curl_easy_setopt(m_easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(m_easy, CURLOPT_REQUEST_TARGET, request.target.c_str());
    if (request.method == "HEAD") {
        curl_easy_setopt(m_easy, CURLOPT_NOBODY, 1L);
        return;
    }
    const bool usuallyHasBody = request.method != "GET" && request.method != "DELETE";
    if (!request.body.empty() || usuallyHasBody) {
        curl_easy_setopt(m_easy, CURLOPT_POST, 1L);
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, request.body.data());
    }
    curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void http_transfer::setHeaders()
{
    const auto& headers = m_request.request.headers;
    const auto append = [this](const std::string& line) { m_headers = curl_slist_append(m_headers, line.c_str()); };
    // Without this line, libcurl waits for "100 Continue" before it sends a large body.
    append("Expect:");
    if (findHeader(headers, "Content-Type").empty())
        append("Content-Type:");
    if (findHeader(headers, "Accept").empty())
        append("Accept:");
    for (const auto& header : headers) {
        // libcurl sends a field without a value when the name ends with a semicolon.
        append(header.value.empty() ? header.name + ";" : header.name + ": " + header.value);
    }
    curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headers);
}

int http_transfer::onBeforeRequest(void* self, char* remoteAddress, char*, int remotePort, int localPort)
{
    auto& transfer = *static_cast<http_transfer*>(self);
    // A second call is the automatic retry of libcurl after a reused connection closed without a response.
    if (transfer.m_maybeSent) {
        transfer.m_isResendPrevented = true;
        return CURL_PREREQFUNC_ABORT;
    }
    if (transfer.m_sockets->hasUnreadInput(
            static_cast<std::uint16_t>(localPort), remoteAddress, static_cast<std::uint16_t>(remotePort))) {
        transfer.m_isConnectionUnusable = true;
        return CURL_PREREQFUNC_ABORT;
    }
    transfer.m_maybeSent = true;
    return CURL_PREREQFUNC_OK;
}

bool http_transfer::needsNewConnection(CURLcode code) const
{
    return code == CURLE_ABORTED_BY_CALLBACK && m_isConnectionUnusable && !m_maybeSent && m_request.reuseConnection;
}

void http_transfer::useNewConnection()
{
    m_isConnectionUnusable = false;
    m_request.reuseConnection = false;
    curl_easy_setopt(m_easy, CURLOPT_FRESH_CONNECT, 1L);
}

std::size_t http_transfer::onHeader(char* data, std::size_t size, std::size_t count, void* self)
{
    auto& transfer = *static_cast<http_transfer*>(self);
    const auto length = size * count;
    transfer.m_hasResponseBytes = true;
    transfer.m_headerBytes += length;
    if (transfer.m_headerBytes > maxResponseHeaderBytes) {
        transfer.m_isTooLarge = true;
        return 0;
    }
    transfer.readHeader({ data, length });
    return length;
}

void http_transfer::readHeader(std::string_view line)
{
    // A status line starts a new header: interim responses precede the final response.
    if (line.starts_with("HTTP/")) {
        m_response.headers.clear();
        m_isChunked = false;
        m_hasContentLength = false;
        return;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos)
        return;
    const auto name = trimmed(line.substr(0, colon));
    const auto value = trimmed(line.substr(colon + 1));
    if (equalHeaderNames(name, "Content-Length"))
        m_hasContentLength = true;
    if (equalHeaderNames(name, "Transfer-Encoding"))
        m_isChunked = true;
    m_response.headers.push_back({ std::string(name), std::string(value) });
}

std::size_t http_transfer::onBody(char* data, std::size_t size, std::size_t count, void* self)
{
    auto& transfer = *static_cast<http_transfer*>(self);
    const auto length = size * count;
    if (transfer.m_response.body.size() + length > transfer.m_request.maxResponseBytes) {
        transfer.m_isTooLarge = true;
        return 0;
    }
    transfer.m_response.body.append(data, length);
    return length;
}

curl_socket_t http_transfer::openSocket(void* sockets, curlsocktype, struct curl_sockaddr* address)
{
    const auto socket = static_cast<curl_sockets*>(sockets)->open(address->family);
    return socket < 0 ? CURL_SOCKET_BAD : socket;
}

int http_transfer::closeSocket(void* sockets, curl_socket_t socket)
{
    static_cast<curl_sockets*>(sockets)->close(socket);
    return 0;
}

// A response that ends with its connection cannot be distinguished from a truncated one, so it is not accepted.
bool http_transfer::hasDefiniteEnd() const
{
    const auto status = m_response.status;
    return m_hasContentLength || m_isChunked || m_request.request.method == "HEAD" || status == statusNoContent
        || status == statusNotModified;
}

http_failure http_transfer::classify(CURLcode code, bool isCancelled) const
{
    if (isCancelled)
        return http_failure::Cancelled;
    if (m_isTooLarge)
        return http_failure::TooLarge;
    switch (code) {
    case CURLE_OK:
        if (m_response.status < firstFinalStatus)
            return http_failure::Invalid;
        return hasDefiniteEnd() ? http_failure::None : http_failure::Truncated;
    case CURLE_OPERATION_TIMEDOUT:
        return m_maybeSent ? http_failure::TimedOut : http_failure::ConnectFailed;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
        return http_failure::ConnectFailed;
    case CURLE_PARTIAL_FILE:
    case CURLE_GOT_NOTHING:
    case CURLE_SEND_ERROR:
    case CURLE_RECV_ERROR:
    case CURLE_ABORTED_BY_CALLBACK:
        return m_hasResponseBytes ? http_failure::Truncated : http_failure::NoResponse;
    default:
        return http_failure::Invalid;
    }
}

http_result http_transfer::makeResult(CURLcode code, bool isCancelled)
{
    long status = 0;
    curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
    m_response.status = static_cast<int>(status);

    http_result result;
    result.failure = classify(code, isCancelled);
    if (result.failure == http_failure::None) {
        result.delivery = http_delivery::Complete;
        result.response = std::move(m_response);
        return result;
    }

    // Describe the failure.
    result.delivery = m_maybeSent ? http_delivery::MaybeSent : http_delivery::NotSent;
    if (isCancelled)
        result.detail = "cancelled";
    else if (m_isTooLarge)
        result.detail = "the response exceeds " + std::to_string(maxResponseHeaderBytes) + " bytes of header or "
            + std::to_string(m_request.maxResponseBytes) + " bytes of body";
    else if (m_isResendPrevented)
        result.detail = "the connection ended before the response";
    else if (code == CURLE_OK)
        result.detail = "the end of the response cannot be recognized";
    else
        result.detail = m_error.front() != '\0' ? m_error.c_str() : curl_easy_strerror(code);
    return result;
}

} // namespace chervilport
