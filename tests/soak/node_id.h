#pragma once

#include <cstddef>

namespace chervilport::soak {

/// A party of the soak: an instance, an executor, or the soak's own callers.
struct node_id {
    /// Kinds of parties.
    enum class kind { Core, Entry, Executor, Caller };

    kind what = kind::Caller;
    /// Number within its kind, from 0; 0 for the callers.
    std::size_t number = 0;

    friend auto operator<=>(const node_id&, const node_id&) = default;
};

} // namespace chervilport::soak
