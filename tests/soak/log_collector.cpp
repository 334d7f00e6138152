#include "tests/soak/log_collector.h"

namespace chervilport::soak {

log_collector::log_collector(asio::io_context& context, int pipe, const std::string& path)
    : m_pipe(context, pipe)
    , m_file(path, std::ios::app)
{
}

void log_collector::start()
{
    m_pipe.async_read_some(
        asio::buffer(m_buffer), [self = shared_from_this()](const std::error_code& error, std::size_t bytes) {
            if (error)
                return;
            self->m_file.write(self->m_buffer.data(), static_cast<std::streamsize>(bytes));
            self->m_file.flush();
            self->start();
        });
}

} // namespace chervilport::soak
