#include "chervilport/consensus/membership_rules.h"

namespace chervilport {

namespace {

    const member* find(const std::vector<member>& members, member_id id)
    {
        const auto found
            = std::find_if(members.begin(), members.end(), [id](const member& entry) { return entry.id == id; });
        return found == members.end() ? nullptr : &*found;
    }

    void erase(std::vector<member>& members, member_id id)
    {
        std::erase_if(members, [id](const member& entry) { return entry.id == id; });
    }

} // namespace

const member* findVoter(const membership& members, member_id id) { return find(members.voters, id); }

const member* findMember(const membership& members, member_id id)
{
    const auto* voter = find(members.voters, id);
    return voter ? voter : find(members.learners, id);
}

bool isVoter(const membership& members, const member& self)
{
    const auto* voter = findVoter(members, self.id);
    return voter && voter->incarnation == self.incarnation;
}

bool isListed(const membership& members, const member& self)
{
    const auto* listed = findMember(members, self.id);
    return listed && listed->incarnation == self.incarnation;
}

std::size_t quorumSize(const membership& members) { return members.voters.size() / 2 + 1; }

membership withoutMember(membership members, member_id id)
{
    erase(members.voters, id);
    erase(members.learners, id);
    return members;
}

} // namespace chervilport
