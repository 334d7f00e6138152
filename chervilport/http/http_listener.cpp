#include "chervilport/http/http_listener.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/http/error_response.h"
#include "chervilport/http/tracked_socket.h"

#include <optional>
#include <restinio/all.hpp>
#include <sys/socket.h>
#include <utility>

namespace chervilport {

namespace {

    /// Interval at which a stopping listener checks for idle connections.
    constexpr std::chrono::milliseconds stopCheckPeriod { 10 };
    /// Maximum length of a header field name in bytes.
    constexpr std::size_t maxHeaderNameBytes = 256;
    /// Bodies up to this multiple of the limit are read and answered with an error.
    constexpr std::uint64_t readBodyFactor = 2;

    struct listener_traits : restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t,
                                 restinio::default_request_handler_t, restinio::noop_strand_t, tracked_socket> {
        static constexpr bool use_connection_count_limiter = true; // NOLINT(readability-identifier-naming): RESTinio
    };

    using server = restinio::http_server_t<listener_traits>;

    http_request toRequest(const restinio::request_t& source)
    {
        http_request request;
        const auto& header = source.header();
        request.method = header.method().c_str();
        request.target = header.request_target();
        header.for_each_field([&](const auto& field) { request.headers.push_back({ field.name(), field.value() }); });
        request.body = source.body();
        return request;
    }

    /// Returns whether the peer has closed the connection or its sending side.
    bool isClosedByPeer(tracked_socket& socket)
    {
        char next = 0;
        return ::recv(socket.native_handle(), &next, sizeof next, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

} // namespace

class http_listener::implementation : public std::enable_shared_from_this<http_listener::implementation> {
public:
    implementation(asio::io_context& context, http_listener_settings settings, handler callback)
        : m_context(context)
        , m_registry(asio::use_service<socket_registry>(context))
        , m_stopTimer(context)
        , m_settings(std::move(settings))
        , m_handler(std::move(callback))
    {
    }

    void open()
    {
        m_server.emplace(restinio::external_io_context(m_context), makeSettings());
        try {
            m_server->open_sync();
        } catch (const std::exception& error) {
            m_server.reset();
            throw chervilport_error(error_kind::Unavailable,
                "cannot listen on " + m_settings.address + ":" + std::to_string(m_settings.port) + ": " + error.what());
        }
    }

    std::uint16_t port() const { return m_port; }

    std::size_t connections() const { return m_registry.count(m_port); }

    void stop(std::chrono::milliseconds idleGrace, std::function<void()> stopped)
    {
        m_isStopping = true;
        m_stopped = std::move(stopped);
        close();
        m_idleDeadline = std::chrono::steady_clock::now() + idleGrace;
        checkStopped();
    }

    // Closes only the acceptor, because the close of RESTinio also stops the timeouts of its connections.
    void close()
    {
        asio::error_code ignored;
        if (m_acceptor)
            m_acceptor->close(ignored);
        m_acceptor = nullptr;
    }

    void abandon()
    {
        close();
        m_stopTimer.cancel();
        m_handler = nullptr;
        m_server.reset();
    }

private:
    restinio::server_settings_t<listener_traits> makeSettings()
    {
        restinio::incoming_http_msg_limits_t limits;
        limits.max_url_size(m_settings.maxTargetBytes);
        limits.max_field_name_size(maxHeaderNameBytes);
        limits.max_field_value_size(m_settings.maxHeaderValueBytes);
        limits.max_field_count(m_settings.maxHeaderFields);
        limits.max_body_size(m_settings.maxBodyBytes * readBodyFactor);

        restinio::server_settings_t<listener_traits> settings;
        settings.address(m_settings.address);
        settings.port(m_settings.port);
        settings.incoming_http_msg_limits(limits);
        settings.max_parallel_connections(m_settings.maxConnections);
        settings.max_pipelined_requests(m_settings.maxPipelined);
        settings.read_next_http_message_timelimit(m_settings.readTimeout);
        settings.write_http_response_timelimit(m_settings.writeTimeout);
        settings.handle_request_timeout(m_settings.handleTimeout);
        settings.socket_options_setter([](auto& options) { options.set_option(asio::ip::tcp::no_delay(true)); });
        settings.acceptor_options_setter(
            [](auto& options) { options.set_option(asio::ip::tcp::acceptor::reuse_address(true)); });
        settings.acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) {
            m_acceptor = &acceptor;
            m_port = acceptor.local_endpoint().port();
        });
        // A connection can outlive the listener object; RESTinio then rejects its requests.
        settings.request_handler([weak = weak_from_this()](const restinio::request_handle_t& request) {
            const auto self = weak.lock();
            return self && self->m_handler ? self->handle(request) : restinio::request_rejected();
        });
        return settings;
    }

    restinio::request_handling_status_t handle(const restinio::request_handle_t& request)
    {
        std::uint64_t serial = 0;
        auto converted = toRequest(*request);
        if (auto* const socket = m_registry.find(m_port, request->remote_endpoint())) {
            if (m_settings.needsCaller && m_settings.needsCaller(converted) && isClosedByPeer(*socket))
                return restinio::request_rejected();
            socket->beginRequest();
            serial = socket->serial();
        }

        // Answer a body above the limit with an error; otherwise call the handler.
        http_responder responder([self = shared_from_this(), request, serial](
                                     http_response response) { self->respond(request, serial, std::move(response)); });
        if (request->body().size() > m_settings.maxBodyBytes)
            responder(makeErrorResponse(
                error_kind::TooLarge, "the body exceeds " + std::to_string(m_settings.maxBodyBytes) + " bytes"));
        else
            m_handler(std::move(converted), std::move(responder));
        return restinio::request_accepted();
    }

    void respond(const restinio::request_handle_t& request, std::uint64_t serial, http_response response)
    {
        const bool isUpgrade = request->header().connection() == restinio::http_connection_header_t::upgrade;
        const bool isCrowded = connections() > m_settings.maxKeptConnections;
        const bool keepsAlive = request->header().should_keep_alive() && !m_isStopping && !isUpgrade && !isCrowded;

        // Write the response and record its end.
        auto builder = request->create_response(restinio::http_status_line_t {
            restinio::http_status_code_t { static_cast<std::uint16_t>(response.status) }, reasonFor(response.status) });
        for (auto& header : response.headers)
            builder.append_header(std::move(header.name), std::move(header.value));
        if (keepsAlive)
            builder.connection_keep_alive();
        else
            builder.connection_close();
        builder.set_body(std::move(response.body));
        builder.done([weak = weak_from_this(), remote = request->remote_endpoint(), serial](const asio::error_code&) {
            if (const auto self = weak.lock())
                self->markAnswered(remote, serial);
        });
    }

    void markAnswered(const asio::ip::tcp::endpoint& remote, std::uint64_t serial)
    {
        auto* const socket = m_registry.find(m_port, remote);
        if (socket && socket->serial() == serial)
            socket->endRequest();
    }

    static std::string reasonFor(int status)
    {
        constexpr int firstErrorStatus = 400;
        return status < firstErrorStatus ? "OK" : "Error";
    }

    void checkStopped()
    {
        if (std::chrono::steady_clock::now() >= m_idleDeadline) {
            m_registry.forEach(m_port, [](tracked_socket& socket) {
                if (socket.isIdle())
                    socket.closeIdle();
            });
        }
        if (connections() == 0) {
            if (m_stopped)
                std::exchange(m_stopped, nullptr)();
            return;
        }
        m_stopTimer.expires_after(stopCheckPeriod);
        m_stopTimer.async_wait([weak = weak_from_this()](const asio::error_code& error) {
            const auto self = weak.lock();
            if (!error && self)
                self->checkStopped();
        });
    }

    asio::io_context& m_context;
    socket_registry& m_registry;
    asio::steady_timer m_stopTimer;
    http_listener_settings m_settings;
    handler m_handler;
    std::optional<server> m_server;
    asio::ip::tcp::acceptor* m_acceptor = nullptr;
    std::uint16_t m_port = 0;
    bool m_isStopping = false;
    std::function<void()> m_stopped;
    std::chrono::steady_clock::time_point m_idleDeadline;
};

http_listener::http_listener(asio::io_context& context, http_listener_settings settings, handler callback)
    : m_implementation(std::make_shared<implementation>(context, std::move(settings), std::move(callback)))
{
}

http_listener::~http_listener() { m_implementation->abandon(); }

void http_listener::open() { m_implementation->open(); }

std::uint16_t http_listener::port() const { return m_implementation->port(); }

std::size_t http_listener::connections() const { return m_implementation->connections(); }

void http_listener::stop(std::chrono::milliseconds idleGrace, std::function<void()> stopped)
{
    m_implementation->stop(idleGrace, std::move(stopped));
}

} // namespace chervilport
