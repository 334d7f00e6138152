#include "chervilport/explain/job_timeline.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace chervilport::explain;

namespace {

constexpr const char* job = "ea59a8795f5cb20e";

/// Parses lines as instances write them, with the name of the instance in front.
std::vector<log_line> linesOf(std::initializer_list<const char*> texts)
{
    std::vector<log_line> lines;
    for (const auto* const text : texts) {
        const auto line = parseLogLine(text, "file");
        cr_assert(line.has_value(), "%s", text);
        lines.push_back(*line);
    }
    return lines;
}

bool isMissing(const job_timeline& timeline, std::string_view what)
{
    return std::any_of(timeline.missing.begin(), timeline.missing.end(),
        [&](const std::string& each) { return each.find(what) != std::string::npos; });
}

void assertConclusion(const job_timeline& timeline, const char* expected)
{
    cr_assert(timeline.conclusion == expected, "conclusion: %s", timeline.conclusion.c_str());
}

} // namespace

// Guards against quoted values that are truncated at a space, and against lines that lose their instance.
Test(logLine, fieldsAndOriginAreRead)
{
    const auto line = parseLogLine(
        "core-1 2026-12-04T09:00:00.123 WARNING event=relay_gave_up request=\"POST /a/1\" reason=\"a \\\"b\\\"\"", "x");
    cr_assert(line.has_value());
    cr_assert(line->instance == "core-1");
    cr_assert(line->time == "2026-12-04T09:00:00.123");
    cr_assert(line->event == "relay_gave_up");
    cr_assert(valueOf(*line, "request") == "POST /a/1");
    cr_assert(valueOf(*line, "reason") == "a \"b\"");
    cr_assert(valueOf(*line, "other").empty());
    cr_assert(parseLogLine("2026-12-04T09:00:00.123 INFO event=stop", "x")->instance == "x");
}

// Guards against other output being parsed as log lines.
Test(logLine, otherTextIsSkipped)
{
    for (const auto* const text : { "", "INFO control: started", "event=stop", "event=", "12 event=stop x=1" })
        cr_assert(!parseLogLine(text, "x").has_value(), "%s", text);
}

// Guards against a missing conclusion when only the entry instance has lines, as it does without a quorum.
Test(jobTimeline, submissionWithoutALeaderIsNotRun)
{
    const auto timeline = buildTimeline(
        linesOf({ "edge-1 2026-12-04T09:00:00.100 WARNING event=relay_gave_up request=\"POST /q/ea59a8795f5cb20e\" "
                  "attempts=0 maybe_run=false leader=0" }),
        job);
    assertConclusion(timeline, "not run: its entry instance found no leader");
    cr_assert(timeline.missing.empty());
}

// Guards against the conclusion "not run" for a call that a leader may have accepted.
Test(jobTimeline, submissionWithUnknownOutcomeIsReported)
{
    const auto timeline = buildTimeline(
        linesOf({ "edge-1 2026-12-04T09:00:00.100 WARNING event=relay_gave_up request=\"POST /q/ea59a8795f5cb20e\" "
                  "attempts=1 maybe_run=true leader=0" }),
        job);
    assertConclusion(timeline, "outcome unknown to its client: forwarded, but no response came from a leader");
}

// Guards against delays that are missing in the conclusion: one run of the job is preempted, the next one is lost with
// its worker. The lines come from two leaders and out of order.
Test(jobTimeline, delaysAreReportedInOrder)
{
    const auto timeline = buildTimeline(
        linesOf({ "core-2 2026-12-04T09:00:05.000 WARNING event=worker_unreachable worker=i-2 reply=no_answer runs=1",
            "core-2 2026-12-04T09:00:12.000 INFO event=run_ended run=ea59a8795f5cb20e.0.0.0#2 worker=i-2 how=lapsed "
            "saved=\"\"",
            "core-2 2026-12-04T09:00:12.100 INFO event=run_assigned run=ea59a8795f5cb20e.0.0.0#3 worker=i-3",
            "core-2 2026-12-04T09:00:15.000 INFO event=run_ended run=ea59a8795f5cb20e.0.0.0#3 worker=i-3 how=done "
            "saved=\"\"",
            "core-2 2026-12-04T09:00:15.010 INFO event=job_ended job=ea59a8795f5cb20e queue=q phase=completed "
            "age_ms=14900",
            "core-1 2026-12-04T09:00:00.100 INFO event=job_submitted job=ea59a8795f5cb20e queue=q workspace=w steps=1 "
            "tasks=1 accelerators=1 config_version=7",
            "core-1 2026-12-04T09:00:00.110 INFO event=job_accepted job=ea59a8795f5cb20e outcome=committed",
            "core-1 2026-12-04T09:00:00.120 INFO event=run_assigned run=ea59a8795f5cb20e.0.0.0#1 worker=i-1",
            "core-1 2026-12-04T09:00:01.000 INFO event=run_preempted run=ea59a8795f5cb20e.0.0.0#1 worker=i-1 "
            "for=1111111111111111",
            "core-1 2026-12-04T09:00:01.500 INFO event=run_ended run=ea59a8795f5cb20e.0.0.0#1 worker=i-1 how=stopped "
            "saved=\"\"",
            "core-1 2026-12-04T09:00:01.600 INFO event=run_assigned run=ea59a8795f5cb20e.0.0.0#2 worker=i-2",
            "core-1 2026-12-04T09:00:06.000 WARNING event=worker_unreachable worker=i-9 reply=no_answer runs=1",
            "core-2 2026-12-04T09:00:04.000 INFO event=leadership_taken term=2 workers=3 jobs=1 config_version=7" }),
        job);
    assertConclusion(
        timeline, "completed after 14900 ms; 1 runs were preempted for 1111111111111111; runs were lost with i-2");
    cr_assert(timeline.missing.empty());
    cr_assert(timeline.entries.front().event == "job_submitted");
    cr_assert(timeline.entries.back().event == "job_ended");
    // The change of the leader and the unreachable worker of the job belong to the timeline; another worker does not.
    std::vector<std::string> others;
    for (const auto& entry : timeline.entries) {
        if (!entry.isOfJob)
            others.push_back(entry.event);
    }
    cr_assert(others == (std::vector<std::string> { "leadership_taken", "worker_unreachable" }));
}

// Guards against a conclusion without the workers on which runs failed; here the job itself fails on two healthy
// workers.
Test(jobTimeline, failedRunsNameTheirWorkers)
{
    const auto timeline = buildTimeline(
        linesOf({ "core-1 2026-12-04T09:00:00.110 INFO event=job_accepted job=ea59a8795f5cb20e outcome=committed",
            "core-1 2026-12-04T09:00:00.120 INFO event=run_assigned run=ea59a8795f5cb20e.0.0.0#1 worker=i-1",
            "core-1 2026-12-04T09:00:01.000 INFO event=run_ended run=ea59a8795f5cb20e.0.0.0#1 worker=i-1 how=failed "
            "saved=\"\"",
            "core-1 2026-12-04T09:00:01.100 INFO event=run_assigned run=ea59a8795f5cb20e.0.0.0#2 worker=i-2 "
            "suppressed=3",
            "core-1 2026-12-04T09:00:02.000 INFO event=run_ended run=ea59a8795f5cb20e.0.0.0#2 worker=i-2 how=failed "
            "saved=\"\"",
            "core-1 2026-12-04T09:00:02.010 INFO event=job_ended job=ea59a8795f5cb20e queue=q phase=failed "
            "age_ms=1900" }),
        job);
    assertConclusion(timeline, "failed after 1900 ms; runs failed on i-1, i-2");
    cr_assert(isMissing(timeline, "the submission"));
    cr_assert(isMissing(timeline, "3 lines"));
}

// Guards against a conclusion that does not tell a job that was given up because it crashes workers from one whose runs
// failed.
Test(jobTimeline, crashesOfWorkersAreNamed)
{
    const auto timeline = buildTimeline(
        linesOf({ "core-1 2026-12-04T09:00:00.110 INFO event=job_accepted job=ea59a8795f5cb20e outcome=committed",
            "core-1 2026-12-04T09:00:01.000 WARNING event=crash_counted run=ea59a8795f5cb20e.0.0.0#1 crashes=1 "
            "outcome=retry",
            "core-1 2026-12-04T09:00:02.000 WARNING event=crash_counted run=ea59a8795f5cb20e.0.0.0#2 crashes=0 "
            "outcome=given_up",
            "core-1 2026-12-04T09:00:02.010 INFO event=job_ended job=ea59a8795f5cb20e queue=q phase=failed "
            "age_ms=1900" }),
        job);
    assertConclusion(timeline, "failed after 1900 ms; workers crashed under 2 runs");
}

// Guards against a late job of which nothing tells behind what it waited.
Test(jobTimeline, waitNamesTheJobAhead)
{
    const auto timeline = buildTimeline(
        linesOf({ "core-1 2026-12-04T09:00:00.100 INFO event=job_submitted job=ea59a8795f5cb20e queue=q",
            "core-1 2026-12-04T09:00:00.110 INFO event=job_accepted job=ea59a8795f5cb20e "
            "outcome=committed",
            "core-1 2026-12-04T09:00:01.110 INFO event=job_waits job=ea59a8795f5cb20e step=0 tasks=4 "
            "age_ms=1000 status=in_time ahead=3 behind=68acc010f2b7f647" }),
        job);
    assertConclusion(timeline,
        "accepted at 2026-12-04T09:00:00.100; no run was assigned: it waits for capacity; at 1000 ms it waited for "
        "room behind 3 steps, first of 68acc010f2b7f647");
}

// Guards against one entry per run when a job with many tasks starts.
Test(jobTimeline, equalLinesAreOneEntry)
{
    const auto timeline = buildTimeline(
        linesOf({ "core-1 2026-12-04T09:00:00.120 INFO event=run_assigned run=ea59a8795f5cb20e.0.0.0#1 worker=i-1",
            "core-1 2026-12-04T09:00:00.120 INFO event=run_assigned run=ea59a8795f5cb20e.0.0.1#1 worker=i-1" }),
        job);
    cr_assert_eq(timeline.entries.size(), 1);
    cr_assert_eq(timeline.entries.front().lines, 2);
    cr_assert(timeline.entries.front().detail == "worker=i-1");
}

// Guards against a conclusion for an id that no line contains.
Test(jobTimeline, unknownJobHasNoLines) { assertConclusion(buildTimeline({}, job), "no line names the job"); }
