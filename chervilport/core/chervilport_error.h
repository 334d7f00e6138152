#pragma once

#include "chervilport/core/error_kind.h"

#include <stdexcept>
#include <string>

namespace chervilport {

/// The exception of the whole project. It carries the kind that decides the answer.
class chervilport_error : public std::runtime_error {
public:
    /// Creates an error of the given kind; the message is shown to the caller.
    chervilport_error(error_kind, const std::string& message);

    /// Returns the kind that decides the answer.
    error_kind kind() const { return m_kind; }

private:
    error_kind m_kind;
};

} // namespace chervilport
