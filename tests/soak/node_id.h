#pragma once

#include <cstddef>
#include <tuple>

namespace chervilport::soak {

/// Kinds of nodes. Core is an instance with the control role, Entry one with the entry role.
enum class node_kind { Core, Entry, Executor, Client };

/// An endpoint of connections in the soak: an instance, an executor, or the clients within the soak process.
struct node_id {
    /// Kind of the node.
    node_kind kind = node_kind::Client;
    /// Number within its kind, from 0; 0 for the clients.
    std::size_t number = 0;

    friend bool operator==(const node_id&, const node_id&) = default;
    friend bool operator<(const node_id& left, const node_id& right)
    {
        return std::tie(left.kind, left.number) < std::tie(right.kind, right.number);
    }
};

} // namespace chervilport::soak
