#include "standins/executor/executor_server.h"

#include <optional>
#include <restinio/all.hpp>
#include <utility>

namespace chervilport {

namespace {

    constexpr std::uint64_t maxBodyBytes = 16U << 20U;

    using server_traits = restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t,
        restinio::default_request_handler_t, restinio::noop_strand_t>;

    http_request toRequest(const restinio::request_t& source)
    {
        http_request request { source.header().method().c_str(), source.header().request_target(), {}, source.body() };
        source.header().for_each_field([&](const auto& field) {
            request.headers.push_back({ field.name(), field.value() });
        });
        return request;
    }

    template <typename Output> auto makeBuilder(const restinio::request_handle_t& request, http_response& response)
    {
        auto builder = request->create_response<Output>(restinio::http_status_line_t {
            restinio::http_status_code_t { static_cast<std::uint16_t>(response.status) }, "Status" });
        for (auto& header : response.headers)
            builder.append_header(std::move(header.name), std::move(header.value));
        return builder;
    }

    executor_server::responder makeResponder(const restinio::request_handle_t& request)
    {
        executor_server::responder responder;
        responder.send = [request](http_response response) {
            auto builder = makeBuilder<restinio::restinio_controlled_output_t>(request, response);
            builder.set_body(std::move(response.body));
            builder.done();
        };
        responder.sendTruncated = [request](http_response response) {
            auto builder = makeBuilder<restinio::user_controlled_output_t>(request, response);
            builder.set_content_length(response.body.size());
            builder.connection_close();
            builder.set_body(response.body.substr(0, response.body.size() / 2));
            builder.done();
        };
        return responder;
    }

} // namespace

struct executor_server::implementation {
    std::optional<restinio::http_server_t<server_traits>> server;
    std::uint16_t port = 0;
};

executor_server::executor_server(asio::io_context& context, handler callback)
    : m_implementation(std::make_unique<implementation>())
{
    restinio::server_settings_t<server_traits> settings;
    settings.address("127.0.0.1");
    settings.port(0);
    settings.incoming_http_msg_limits(restinio::incoming_http_msg_limits_t {}.max_body_size(maxBodyBytes));
    settings.read_next_http_message_timelimit(std::chrono::hours(1));
    settings.handle_request_timeout(std::chrono::hours(1));
    settings.socket_options_setter([](auto& options) { options.set_option(asio::ip::tcp::no_delay(true)); });
    settings.acceptor_post_bind_hook(
        [this](asio::ip::tcp::acceptor& acceptor) { m_implementation->port = acceptor.local_endpoint().port(); });
    settings.request_handler([callback = std::move(callback)](const restinio::request_handle_t& request) {
        callback(toRequest(*request), makeResponder(request));
        return restinio::request_accepted();
    });
    m_implementation->server.emplace(restinio::external_io_context(context), std::move(settings));
    m_implementation->server->open_sync();
}

executor_server::~executor_server() = default;

std::uint16_t executor_server::port() const { return m_implementation->port; }

} // namespace chervilport
