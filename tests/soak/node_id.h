#pragma once

#include <cstddef>
#include <tuple>

namespace chervilport::soak {

/// A party of the soak: an instance, an executor, or the soak's own callers.
struct node_id {
    /// Kinds of parties.
    enum class kind { Core, Entry, Executor, Caller };

    kind what = kind::Caller;
    /// Number within its kind, from 0; 0 for the callers.
    std::size_t number = 0;

    friend bool operator==(const node_id&, const node_id&) = default;
    friend bool operator<(const node_id& left, const node_id& right)
    {
        return std::tie(left.what, left.number) < std::tie(right.what, right.number);
    }
};

} // namespace chervilport::soak
