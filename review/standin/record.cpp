#include "review/standin/record.h"

#include <iomanip>
#include <stdexcept>

namespace review {

record::record(const std::string& path)
    : m_file(path)
    , m_begin(std::chrono::steady_clock::now())
{
    if (!m_file)
        throw std::runtime_error("cannot write " + path);
}

void record::line(const std::string& text)
{
    const std::lock_guard lock(m_mutex);
    const auto since = std::chrono::steady_clock::now() - m_begin;
    m_file << std::setw(7) << std::chrono::duration_cast<std::chrono::milliseconds>(since).count() << "  " << text
           << std::endl;
}

std::int64_t wallMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace review
