#pragma once

#include <cstdint>
#include <string>

namespace chervilport {

/// A problem found in an environment document.
struct config_problem {
    /// Line in the document, from 1.
    std::int32_t line = 0;
    /// Path of the key; elements of arrays are named by their name or their position from 0.
    std::string key;
    /// Allowed values, for example "0 to 1000".
    std::string allowed;

    friend bool operator==(const config_problem&, const config_problem&) = default;
};

} // namespace chervilport
