#include "chervilport/control/descriptor_budget.h"

#include "chervilport/transport/transport_limits.h"

#include <criterion/criterion.h>

using namespace chervilport;

// Guards against a fixed bound below the size of the site: 172 of 300 entry instances found no place, and a process
// that runs out of descriptors can open neither its log nor a connection to another member.
Test(descriptorBudget, entryInstancesFitAndMembersAndFilesKeepDescriptors)
{
    constexpr std::size_t descriptors = 4'096;
    constexpr std::size_t entryInstances = 300;
    constexpr std::size_t files = 200;
    const auto budget = divideDescriptors(descriptors);
    cr_assert_geq(budget.instances, entryInstances);
    cr_assert_lt(budget.keptCallers, budget.callers);
    const auto taken = budget.instances + budget.unidentified + budget.callers + budget.workers;
    cr_assert_leq(taken + transport_limits {}.maxReservedConnections + files, descriptors);
}

// Guards against a kind of connection that a process with few descriptors refuses altogether.
Test(descriptorBudget, everyKindHasAtLeastOne)
{
    const auto budget = divideDescriptors(1);
    cr_assert_geq(budget.instances, 1);
    cr_assert_geq(budget.unidentified, 1);
    cr_assert_geq(budget.callers, 1);
    cr_assert_geq(budget.keptCallers, 1);
    cr_assert_geq(budget.workers, 1);
}
