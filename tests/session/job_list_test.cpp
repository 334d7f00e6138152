#include "tests/session/session_cluster.h"

#include <criterion/criterion.h>

using namespace chervilport;

// Guards against a caller that submits a job again because a list that was cut short does not show it.
Test(jobList, tellsWhetherItIsCutShort)
{
    session_cluster cluster({ { 1, "local", true, true } });
    cluster.startAll();
    for (int i = 0; i < 2; ++i) {
        const session_call submit { "POST", cluster.address(1), "/v1/jobs", {}, R"({"workspace":"default"})" };
        cr_assert_eq(sendSessionCall(submit).status, 201);
    }
    const auto list = [&](const std::string& limit) {
        return sendSessionCall({ "GET", cluster.address(1), "/v1/jobs?limit=" + limit, {}, {} }).json();
    };
    cr_assert_eq(list("1").at("jobs").size(), 1);
    cr_assert_eq(list("1").at("more"), true);
    cr_assert_eq(list("2").at("jobs").size(), 2);
    cr_assert_eq(list("2").at("more"), false);
}
