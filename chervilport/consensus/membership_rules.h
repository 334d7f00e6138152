#pragma once

#include "chervilport/consensus/member.h"
#include "chervilport/consensus/membership.h"

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <functional>
#include <vector>

namespace chervilport {

/// Returns the voter with this number, or null.
const member* findVoter(const membership&, member_id);

/// Returns the voter or learner with this number, or null.
const member* findMember(const membership&, member_id);

/// Whether this incarnation of the member is a voter.
bool isVoter(const membership&, const member&);

/// Whether this incarnation of the member is a voter or learner.
bool isListed(const membership&, const member&);

/// Number of voters that make a majority.
std::size_t quorumSize(const membership&);

/// Returns the membership without the member.
membership withoutMember(membership, member_id);

/// Returns the largest value that a majority has reached; `values` holds one per voter and is not empty.
template <typename Value> Value reachedByQuorum(std::vector<Value> values)
{
    assert(!values.empty());
    std::sort(values.begin(), values.end(), std::greater<> {});
    return values[values.size() / 2];
}

} // namespace chervilport
