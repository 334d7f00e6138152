#pragma once

#include "chervilport/http/http_client.h"

#include <curl/curl.h>

namespace chervilport {

class curl_sockets;

/// An outgoing request in progress.
class http_transfer {
public:
    /// Creates a transfer on an easy handle that the caller owns.
    http_transfer(http_client::request_id, CURL*, http_client_request, http_client::callback);
    ~http_transfer();

    http_transfer(const http_transfer&) = delete;
    http_transfer& operator=(const http_transfer&) = delete;

    /// Returns the id of the request.
    http_client::request_id id() const { return m_id; }
    /// Returns the easy handle of the transfer.
    CURL* easy() const { return m_easy; }

    /// Sets all options of the handle.
    void prepare(curl_sockets&, std::chrono::milliseconds connectTimeout);
    /// Returns whether the transfer ended because its reused connection was not usable and nothing was written.
    bool needsNewConnection(CURLcode) const;
    /// Prepares the handle for a retry on a new connection.
    void useNewConnection();
    /// Returns the result of the transfer and moves the received response into it.
    http_result makeResult(CURLcode, bool isCancelled);
    /// Moves the callback out of the transfer.
    http_client::callback takeCallback();

private:
    static int onBeforeRequest(void* self, char* remoteAddress, char* localAddress, int remotePort, int localPort);
    static std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* self);
    static std::size_t onBody(char* data, std::size_t size, std::size_t count, void* self);
    static curl_socket_t openSocket(void* sockets, curlsocktype, struct curl_sockaddr*);
    static int closeSocket(void* sockets, curl_socket_t);

    void setMessage();
    void setHeaders();
    void readHeader(std::string_view line);
    bool hasDefiniteEnd() const;
    http_failure classify(CURLcode, bool isCancelled) const;

    http_client::request_id m_id;
    CURL* m_easy;
    curl_sockets* m_sockets = nullptr;
    http_client_request m_request;
    http_client::callback m_callback;
    curl_slist* m_headers = nullptr;
    std::string m_error;
    http_response m_response;
    std::size_t m_headerBytes = 0;
    bool m_hasResponseBytes = false;
    bool m_isTooLarge = false;
    bool m_isChunked = false;
    bool m_hasContentLength = false;
    /// Set before libcurl writes the first byte of the request.
    bool m_maybeSent = false;
    /// Set when the connection had unread input or was closed by the peer before the request was written.
    bool m_isConnectionUnusable = false;
    /// Set when an automatic retry of libcurl was prevented.
    bool m_isResendPrevented = false;
};

} // namespace chervilport
