#pragma once

#include <cstddef>
#include <tuple>

namespace chervilport::soak {

/// Kinds of nodes.
enum class node_kind { Core, Entry, Executor, Client };

/// A party of the soak: an instance, an executor, or the soak's own callers.
struct node_id {
    node_kind kind = node_kind::Client;
    /// Number within its kind, from 0; 0 for the callers.
    std::size_t number = 0;

    friend bool operator==(const node_id&, const node_id&) = default;
    friend bool operator<(const node_id& left, const node_id& right)
    {
        return std::tie(left.kind, left.number) < std::tie(right.kind, right.number);
    }
};

} // namespace chervilport::soak
