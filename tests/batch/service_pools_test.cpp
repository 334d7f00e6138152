#include "tests/batch/fake_site.h"

#include <criterion/criterion.h>

using namespace chervilport::batch;
using namespace chervilport::batch_tests;

namespace {

/// Adds a second service with a queue of its own.
void addService(fake_site& site, const char* service)
{
    auto config = site.state().config;
    ++config.version;
    config.services.emplace_back(service);
    auto queue = config.queues.back();
    queue.name = service;
    queue.pathPrefix = std::string("/") + service + '/';
    queue.service = service;
    config.queues.push_back(queue);
    site.apply(config_applied { config });
}

} // namespace

// Guards against a job that waits because workers of another service are busy: the reserved workers and the use of the
// pool were counted over all services together.
Test(servicePools, anotherServiceDoesNotKeepAnIdleWorkerFromItsOwnJobs)
{
    fake_site site;
    addService(site, "second");
    auto only = reportOf("a0", "10.0.1.1:80", 500'000);
    only.service = "second";
    only.rack = "a";
    site.apply(worker_reported { only });
    site.addWorkers(11);
    site.submit(urgentQueue, { stepOf(7, 8) });
    site.pass();
    const auto job = site.submit("second", { stepOf(1, 1) });
    site.pass();
    cr_assert_eq(site.activeRuns(job).size(), 1);
}
