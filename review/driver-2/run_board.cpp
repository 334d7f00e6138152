#include "run_board.h"

#include <algorithm>

namespace review {

run_board::run_board(record& written)
    : m_record(written)
{
}

void run_board::begin(const std::string& task, const std::string& worker)
{
    const std::lock_guard lock(m_mutex);
    auto& workers = m_running[task];
    if (std::any_of(workers.begin(), workers.end(), [&](const std::string& each) { return each != worker; })) {
        ++m_overlaps;
        m_record.write("TWICE " + task + " begins on " + worker + " and runs on " + workers.front());
    }
    workers.push_back(worker);
}

void run_board::end(const std::string& task, const std::string& worker)
{
    const std::lock_guard lock(m_mutex);
    std::erase(m_running[task], worker);
}

std::size_t run_board::overlaps() const
{
    const std::lock_guard lock(m_mutex);
    return m_overlaps;
}

} // namespace review
