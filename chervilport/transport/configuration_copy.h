#pragma once

#include <cstdint>
#include <string>

namespace chervilport {

/// A production configuration as passed between instances.
struct configuration_copy {
    /// Version of the document; 0 when there is none.
    std::uint64_t version = 0;
    /// The document; empty when the requesting instance already has this version or a newer one.
    std::string content;

    friend bool operator==(const configuration_copy&, const configuration_copy&) = default;
};

} // namespace chervilport
