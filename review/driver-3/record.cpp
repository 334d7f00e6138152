#include "review/driver-3/record.h"

#include <iomanip>

namespace chervilport::review {

record::record(const std::string& path)
    : m_file(path)
    , m_begin(std::chrono::steady_clock::now())
{
}

void record::add(const std::string& line)
{
    const std::lock_guard lock(m_mutex);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - m_begin;
    m_file << std::fixed << std::setprecision(3) << elapsed.count() << ' ' << line << std::endl;
}

} // namespace chervilport::review
