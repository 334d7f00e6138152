#pragma once

#include "chervilport/settings/settings.h"

#include <memory>

namespace chervilport {

/// An instance of the system: the HTTP listener and the request path on the thread that calls run(), and the control
/// plane on a thread of its own.
class instance {
public:
    /// Creates a stopped instance.
    explicit instance(const settings&);
    ~instance();

    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    /// Serves until SIGTERM or SIGINT and returns after the planned stop. Throws chervilport_error when the instance
    /// cannot start.
    void run();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chervilport
