#include "chervilport/http/http_client.h"

#include "chervilport/http/curl_sockets.h"
#include "chervilport/http/http_transfer.h"

#include <cassert>
#include <curl/curl.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chervilport {

namespace {

    /// Maximum number of easy handles kept for reuse; each takes a few kilobytes.
    constexpr std::size_t maxPooledHandles = 64;

    struct curl_library {
        curl_library() { curl_global_init(CURL_GLOBAL_DEFAULT); }
    };

} // namespace

class http_client::implementation : public std::enable_shared_from_this<http_client::implementation> {
public:
    implementation(asio::io_context& context, const http_client_settings& settings)
        : m_context(context)
        , m_settings(settings)
        , m_timer(context)
        , m_sockets(context, [this](int socket, int readiness) { processSocket(socket, readiness); })
    {
        static const curl_library library;
        m_multi = curl_multi_init();
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &implementation::onSocket);
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &implementation::onTimer);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, static_cast<long>(settings.maxIdleConnections));
        curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(settings.maxConnectionsPerAddress));
        curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    ~implementation() { shutDown(); }

    /// Aborts all transfers and closes all connections. Idempotent.
    void shutDown()
    {
        if (!m_multi)
            return;
        for (auto& [id, transfer] : m_transfers) {
            curl_multi_remove_handle(m_multi, transfer->easy());
            curl_easy_cleanup(transfer->easy());
        }
        m_transfers.clear();
        for (auto* const easy : m_pooledHandles)
            curl_easy_cleanup(easy);
        m_pooledHandles.clear();
        curl_multi_cleanup(std::exchange(m_multi, nullptr));
        m_timer.cancel();
    }

    request_id send(http_client_request request, callback done)
    {
        const auto id = ++m_lastId;
        auto transfer = std::make_unique<http_transfer>(id, takeHandle(), std::move(request), std::move(done));
        transfer->prepare(m_sockets, m_settings.connectTimeout);
        curl_multi_add_handle(m_multi, transfer->easy());
        m_transfers[id] = std::move(transfer);
        return id;
    }

    void cancel(request_id id)
    {
        asio::post(m_context, [weak = weak_from_this(), id] {
            const auto self = weak.lock();
            if (!self || !self->m_multi)
                return;
            const auto found = self->m_transfers.find(id);
            if (found != self->m_transfers.end())
                self->finish(found->second->easy(), CURLE_OK, true);
        });
    }

    std::size_t inFlight() const { return m_transfers.size(); }

private:
    CURL* takeHandle()
    {
        if (m_pooledHandles.empty())
            return curl_easy_init();
        auto* const easy = m_pooledHandles.back();
        m_pooledHandles.pop_back();
        return easy;
    }

    void returnHandle(CURL* easy)
    {
        if (m_pooledHandles.size() >= maxPooledHandles) {
            curl_easy_cleanup(easy);
            return;
        }
        curl_easy_reset(easy);
        m_pooledHandles.push_back(easy);
    }

    void processSocket(int socket, int readiness)
    {
        if (!m_multi)
            return;
        const auto self = shared_from_this();
        int running = 0;
        curl_multi_socket_action(m_multi, socket, readiness, &running);
        finishCompleted();
    }

    void finishCompleted()
    {
        // Collect all ended transfers before the first callback, because callbacks can start and cancel requests.
        std::vector<std::pair<CURL*, CURLcode>> ended;
        int left = 0;
        while (const auto* const message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg == CURLMSG_DONE)
                ended.emplace_back(message->easy_handle, message->data.result);
        }

        // Report the results until a callback destroys the client.
        for (const auto& [easy, code] : ended) {
            if (!m_multi)
                return;
            finish(easy, code, false);
        }
    }

    void finish(CURL* easy, CURLcode code, bool isCancelled)
    {
        http_transfer* ended = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &ended);
        assert(ended);
        curl_multi_remove_handle(m_multi, easy);

        // Retry on a new connection if nothing was written.
        if (!isCancelled && ended->needsNewConnection(code)) {
            ended->useNewConnection();
            curl_multi_add_handle(m_multi, easy);
            return;
        }

        // Remove the transfer and report its result.
        const auto entry = m_transfers.extract(ended->id());
        const auto& transfer = entry.mapped();
        auto result = transfer->makeResult(code, isCancelled);
        auto done = transfer->takeCallback();
        returnHandle(easy);
        if (done)
            done(std::move(result));
    }

    static int onSocket(CURL*, curl_socket_t socket, int what, void* self, void*)
    {
        static_cast<implementation*>(self)->m_sockets.watch(socket, what);
        return 0;
    }

    static int onTimer(CURLM*, long timeoutMs, void* self)
    {
        static_cast<implementation*>(self)->setTimer(timeoutMs);
        return 0;
    }

    void setTimer(long timeoutMs)
    {
        if (timeoutMs < 0) {
            m_timer.cancel();
            return;
        }
        m_timer.expires_after(std::chrono::milliseconds(timeoutMs));
        m_timer.async_wait([weak = weak_from_this()](const asio::error_code& error) {
            const auto self = weak.lock();
            if (!error && self)
                self->processSocket(CURL_SOCKET_TIMEOUT, 0);
        });
    }

    asio::io_context& m_context;
    http_client_settings m_settings;
    asio::steady_timer m_timer;
    curl_sockets m_sockets;
    CURLM* m_multi = nullptr;
    std::uint64_t m_lastId = 0;
    std::unordered_map<request_id, std::unique_ptr<http_transfer>> m_transfers;
    std::vector<CURL*> m_pooledHandles;
};

http_client::http_client(asio::io_context& context, http_client_settings settings)
    : m_implementation(std::make_shared<implementation>(context, settings))
{
}

http_client::~http_client() { m_implementation->shutDown(); }

http_client::request_id http_client::send(http_client_request request, callback done)
{
    return m_implementation->send(std::move(request), std::move(done));
}

void http_client::cancel(request_id id) { m_implementation->cancel(id); }

std::size_t http_client::inFlight() const { return m_implementation->inFlight(); }

} // namespace chervilport
