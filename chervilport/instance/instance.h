#pragma once

#include "chervilport/settings/settings.h"

#include <memory>

namespace chervilport {

/// An instance of the system: runs the HTTP listener and the data plane on the thread that calls run(), and the control
/// plane on a separate thread.
class instance {
public:
    /// Creates a stopped instance.
    explicit instance(const settings&);
    ~instance();

    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    /// Serves until SIGTERM or SIGINT and returns after a graceful shutdown. Throws chervilport_error when the instance
    /// cannot start.
    void run();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chervilport
