#pragma once

#include <cstdint>
#include <string>

namespace chervilport {

/// Something wrong in an environment document.
struct config_problem {
    /// Line in the document, from 1.
    std::int32_t line = 0;
    /// Path of the key, with names or positions (from 0) for the elements of arrays.
    std::string key;
    /// What is allowed there, for example "0 to 1000".
    std::string allowed;

    friend bool operator==(const config_problem&, const config_problem&) = default;
};

} // namespace chervilport
