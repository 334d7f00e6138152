#include "chervilport/settings/settings_reader.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace chervilport;

namespace {

bool hasError(const settings_result& result, std::uint32_t line, std::string_view key)
{
    return std::any_of(result.errors.begin(), result.errors.end(),
        [&](const settings_error& error) { return error.line == line && error.key == key; });
}

} // namespace

// Guards against defaults that a single instance without a file cannot start with.
Test(settings, emptyTextGivesUsableDefaults)
{
    const auto result = readSettings("", "none.toml");
    cr_assert(result.errors.empty());
    cr_assert(isLoopback(result.values.httpListen));
}

// Guards against a reader that stops at the first error, so that the operator needs one start per error.
Test(settings, everyErrorIsReportedWithLineAndKey)
{
    const auto result = readSettings(R"([instance]
id = 0
colour = "green"
[listen]
http = "localhost:80"
[timing]
lease_ms = "long"
[log]
level = "loud"
)",
        "a.toml");
    cr_assert(hasError(result, 2, "instance.id"));
    cr_assert(hasError(result, 3, "instance.colour"));
    cr_assert(hasError(result, 5, "listen.http"));
    cr_assert(hasError(result, 7, "timing.lease_ms"));
    cr_assert(hasError(result, 9, "log.level"));
    cr_assert(describe(result.errors.front()) == "a.toml:2: instance.id: must be a whole number from 1 to 1000000");
}

// Guards against a syntax error without a line.
Test(settings, syntaxErrorNamesItsLine)
{
    const auto result = readSettings("[instance]\nid = = 3\n", "a.toml");
    cr_assert_eq(result.errors.size(), 1);
    cr_assert_eq(result.errors.front().line, 2);
}

// Guards against a listener that is open to the network by mistake.
Test(settings, openListenerNeedsTokensOrPermission)
{
    cr_assert_not(readSettings("[listen]\nhttp = \"0.0.0.0:7400\"\n", "a.toml").errors.empty());
    cr_assert(readSettings("[listen]\nhttp = \"0.0.0.0:7400\"\n[access]\nallow_open_listener = true\n", "a.toml")
                  .errors.empty());
    cr_assert(
        readSettings("[listen]\nhttp = \"0.0.0.0:7400\"\n[access]\ntoken_file = \"t\"\n", "a.toml").errors.empty());
}

// Guards against two instances with the same id, and against an instance that is missing in its own list.
Test(settings, instanceListIsCheckedAgainstItself)
{
    const auto result = readSettings(R"([instance]
id = 3
[cluster]
secret_file = "s"
instances = [
  { id = 1, failure_domain = "seattle", peer = "127.0.0.1:1" },
  { id = 1, failure_domain = "seattle", peer = "127.0.0.1:2" },
]
)",
        "a.toml");
    cr_assert_eq(result.errors.size(), 2);
    cr_assert(result.errors[0].message == "the id 1 is given twice");
}
