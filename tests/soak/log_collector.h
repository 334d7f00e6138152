#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <cstddef>
#include <fstream>
#include <memory>
#include <string>

namespace chervilport::soak {

/// Appends the output that a process writes to a pipe to a file, so that file size limits of the process do not affect
/// its log. Pending reads own the collector until the process closes the pipe.
class log_collector : public std::enable_shared_from_this<log_collector> {
public:
    /// Takes ownership of the read end of the pipe; `path` is the log file.
    log_collector(asio::io_context&, int pipe, const std::string& path);

    /// Starts to read.
    void start();

private:
    static constexpr std::size_t bufferBytes = std::size_t { 16 } * 1024;

    asio::posix::stream_descriptor m_pipe;
    std::ofstream m_file;
    std::array<char, bufferBytes> m_buffer {};
};

} // namespace chervilport::soak
