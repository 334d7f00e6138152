#include "chervilport/control/report_target.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <string>
#include <vector>

using namespace chervilport;

namespace {

constexpr int workers = 3'000;

std::string workerName(int number) { return "worker-" + std::to_string(number); }

} // namespace

// Guards against a leader that has no processor time left for its heartbeats, because 3,000 workers report to it.
Test(reportTarget, workersAreSpreadEvenly)
{
    const std::vector members { member_id { 11 }, member_id { 12 }, member_id { 13 } };
    std::map<member_id, int> count;
    for (int i = 0; i < workers; ++i)
        ++count[*reportMemberOf(workerName(i), members)];
    for (const auto member : members) {
        cr_assert_geq(count[member], workers / 4);
        cr_assert_leq(count[member], workers * 5 / 12);
    }
}

// Guards against thousands of new connections when one member is lost: only its own workers move.
Test(reportTarget, lossOfAMemberMovesOnlyItsWorkers)
{
    const std::vector members { member_id { 11 }, member_id { 12 }, member_id { 13 } };
    const std::vector rest { member_id { 11 }, member_id { 13 } };
    for (int i = 0; i < workers; ++i) {
        const auto before = reportMemberOf(workerName(i), members);
        if (before != member_id { 12 })
            cr_assert(reportMemberOf(workerName(i), rest) == before);
    }
    cr_assert(!reportMemberOf(workerName(0), {}).has_value());
}
