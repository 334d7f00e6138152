#include "chervilport/transport/detail/connection_places.h"

#include <cassert>
#include <utility>

namespace chervilport {

connection_places::connection_places(const transport_limits& limits)
    : m_unidentified { limits.maxUnidentifiedConnections, 0 }
    , m_reserved { limits.maxReservedConnections, 0 }
    , m_shared { limits.maxAcceptedConnections, 0 }
{
}

bool connection_places::tryTake(connection_place place)
{
    auto& count = countOf(place);
    if (count.taken >= count.maximum)
        return false;
    ++count.taken;
    return true;
}

void connection_places::release(connection_place place)
{
    auto& count = countOf(place);
    assert(count.taken > 0);
    --count.taken;
}

std::size_t connection_places::taken(connection_place place) const { return countOf(place).taken; }

const connection_places::bounded_count& connection_places::countOf(connection_place place) const
{
    switch (place) {
    case connection_place::Unidentified:
        return m_unidentified;
    case connection_place::Reserved:
        return m_reserved;
    case connection_place::Shared:
        break;
    }
    return m_shared;
}

connection_places::bounded_count& connection_places::countOf(connection_place place)
{
    return const_cast<bounded_count&>(std::as_const(*this).countOf(place));
}

} // namespace chervilport
