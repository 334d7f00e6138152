#include "chervilport/core/chervilport_error.h"
#include "chervilport/core/error_kind.h"

#include <criterion/criterion.h>
#include <set>

using namespace chervilport;

// Guards against a row in the wrong place of the table, which would give a client the response of another error.
Test(errorKind, everyKindHasItsOwnRow)
{
    std::set<std::string_view> names;
    for (const auto& row : allErrorProperties()) {
        cr_assert(errorPropertiesOf(row.kind).kind == row.kind);
        cr_assert(names.insert(row.name).second);
        cr_assert(errorKindFromName(row.name) == row.kind);
    }
    cr_assert(errorPropertiesOf(error_kind::Internal).name == "internal");
    cr_assert_not(errorKindFromName("no_such_kind").has_value());
}

// Guards against an uncertain execution being reported as not run.
Test(errorKind, uncertainKindsNeverReportNotRun)
{
    for (const auto kind :
        { error_kind::OutcomeUnknown, error_kind::UpstreamFailed, error_kind::StillRunning, error_kind::Internal })
        cr_assert(errorPropertiesOf(kind).outcome == run_outcome::Unknown);
}

// Guards against an exception that loses its kind before the response is made.
Test(errorKind, exceptionKeepsKind)
{
    const chervilport_error error(error_kind::NotFound, "job d1-7 is not known");
    cr_assert(error.kind() == error_kind::NotFound);
    cr_assert_str_eq(error.what(), "job d1-7 is not known");
}
