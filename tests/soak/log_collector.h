#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <cstddef>
#include <fstream>
#include <memory>
#include <string>

namespace chervilport::soak {

/// Appends what a process writes into a pipe to a file, so that limits on the process's files do not touch its log. It
/// keeps itself alive until the process has closed the pipe.
class log_collector : public std::enable_shared_from_this<log_collector> {
public:
    /// Takes the reading end of the pipe.
    log_collector(asio::io_context&, int pipe, const std::string& path);

    /// Begins to read.
    void start();

private:
    static constexpr std::size_t bufferBytes = std::size_t { 16 } * 1024;

    asio::posix::stream_descriptor m_pipe;
    std::ofstream m_file;
    std::array<char, bufferBytes> m_buffer {};
};

} // namespace chervilport::soak
