#include "record.h"

namespace review {

record::record(const std::string& path)
    : m_file(path, std::ios::trunc)
{
}

void record::write(const std::string& line)
{
    const std::lock_guard lock(m_mutex);
    m_file << nowMs() << ' ' << line << std::endl;
}

std::int64_t record::nowMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_begin).count();
}

} // namespace review
