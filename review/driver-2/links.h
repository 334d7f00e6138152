#pragma once

#include "site.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace review {

/// Forwards the connections to the control machines of a site, and can cut one control machine off from the others. A
/// cut is silent: the bytes of both directions are held back and delivered when it ends.
class links {
public:
    explicit links(site&);
    ~links();

    links(const links&) = delete;
    links& operator=(const links&) = delete;

    /// Cuts a control machine off from the other control machines, or ends the cut with -1.
    void cut(int core) { m_cutOff = core; }

private:
    void acceptLoop(std::size_t core, int listener);
    void forward(int from, int to, std::size_t core);
    int sourceOf(int connection);
    bool isHeld(int source, std::size_t target) const;

    site& m_site;
    std::atomic<int> m_cutOff = -1;
    std::atomic<bool> m_stopped = false;
    std::mutex m_mutex;
    std::vector<std::thread> m_threads;
};

} // namespace review
