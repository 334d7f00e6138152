#pragma once

#include "chervilport/consensus/member.h"
#include "chervilport/consensus/membership.h"

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <functional>
#include <vector>

namespace chervilport {

/// Returns the voter with this id, or null.
const member* findVoter(const membership&, member_id);

/// Returns the voter or learner with this id, or null.
const member* findMember(const membership&, member_id);

/// Returns whether this incarnation of the member is a voter.
bool isVoter(const membership&, const member&);

/// Returns whether this incarnation of the member is a voter or learner.
bool isListed(const membership&, const member&);

/// Returns the number of voters that form a majority.
std::size_t quorumSize(const membership&);

/// Returns the membership without the member.
membership withoutMember(membership, member_id);

/// Returns the largest value that a majority of voters has reached. `values` has one value per voter and is not empty.
template <typename Value> Value reachedByQuorum(std::vector<Value> values)
{
    assert(!values.empty());
    std::sort(values.begin(), values.end(), std::greater<> {});
    return values[values.size() / 2];
}

} // namespace chervilport
