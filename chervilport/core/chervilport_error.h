#pragma once

#include "chervilport/core/error_kind.h"

#include <stdexcept>
#include <string>

namespace chervilport {

/// Exception of this project. Its kind determines the error response and the exit code of the command line.
class chervilport_error : public std::runtime_error {
public:
    /// Creates an error of the given kind. The message is shown to the client.
    chervilport_error(error_kind, const std::string& message);

    /// Returns the kind of the error.
    error_kind kind() const { return m_kind; }

private:
    error_kind m_kind;
};

} // namespace chervilport
