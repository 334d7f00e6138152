#include "chervilport/configuration/environment_document.h"
#include "chervilport/configuration/guarantee_proof.h"
#include "tests/configuration/sample_document.h"

#include <criterion/criterion.h>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

std::string replaced(std::string document, const std::string& from, const std::string& to)
{
    return document.replace(document.find(from), from.size(), to);
}

void expectProblem(const std::string& document, const config_problem& expected)
{
    const auto parsed = parseEnvironment(document);
    cr_assert_not(parsed.config.has_value());
    cr_assert_eq(parsed.problems.size(), 1, "%zu problems", parsed.problems.size());
    const auto& problem = parsed.problems.front();
    cr_assert(problem == expected, "line %d, %s: %s", problem.line, problem.key.c_str(), problem.allowed.c_str());
}

environment_config withShapes(const std::vector<shape>& shapes)
{
    return { "test", {}, { { "seattle", { { "rosters", shapes, -1, {} } } } } };
}

shape gang(int count, int tasks, adjacency placement) { return { count, tasks, { 1, 0, 0 }, placement }; }

bool fits(const std::vector<shape>& shapes) { return proveGuarantees(withShapes(shapes), sampleCapacity()).empty(); }

} // namespace

// Guards against a value that is stored in the wrong field, workspace or failure domain.
Test(environmentDocument, everyValueIsReadIntoItsField)
{
    const auto parsed = parseEnvironment(sampleDocument());
    cr_assert(parsed.problems.empty());
    environment_config expected;
    expected.name = "nightline";
    expected.policy.fragmentationWeight = 200;
    expected.policy.startTimeout = 20s;
    const workspace_config rosters { "rosters", { gang(2, 16, adjacency::Rack) }, 8, { { "dispatch", 24 } } };
    expected.domains = { { "seattle", { rosters } }, { "tacoma", { { "plans", {}, -1, {} } } } };
    cr_assert(*parsed.config == expected);
}

// Guards against a problem that does not report its line, its key and the allowed values.
Test(environmentDocument, everyProblemHasLineKeyAndRange)
{
    const auto valid = sampleDocument();
    const std::string guarantee = "workspace.rosters.domain.seattle.guarantee.0";
    expectProblem(replaced(valid, "= 200", "= 1001"), { 6, "policy.fragmentation_weight", "0 to 1000" });
    expectProblem(replaced(valid, "= 200", "= \"200\""), { 6, "policy.fragmentation_weight", "0 to 1000" });
    expectProblem(replaced(valid, "tasks = 16", "tasks = 65"), { 18, guarantee + ".tasks", "1 to 64" });
    expectProblem(replaced(valid, "tasks = 16\n", ""), { 16, guarantee + ".tasks", "1 to 64" });
    expectProblem(
        replaced(valid, "\"rack\"", "\"room\""), { 20, guarantee + ".placement", "any, adjacent_racks, rack, worker" });
    expectProblem(replaced(valid, "accelerators = 1\n", ""),
        { 16, guarantee, "a demand above 0 of accelerators, millicores or memory_mb" });
    expectProblem(replaced(valid, "name = \"tacoma\"", "name = \"portland\""),
        { 30, "workspace.plans.domain.portland.name", "one of seattle tacoma" });
    expectProblem(replaced(valid, "\"plans\"", "\"rosters\""),
        { 27, "workspace.rosters.name", "a name that no other element has" });
    expectProblem(replaced(valid, "start_timeout_ms", "start_timeout"),
        { 7, "policy.start_timeout",
            "only the keys fragmentation_weight, max_attempts, start_timeout_ms, stop_timeout_ms" });
    expectProblem(replaced(valid, "\"nightline\"", "\"Night line\""),
        { 2, "environment.name", "1 to 63 lower-case letters, digits and hyphens" });
}

// Guards against a parser that reports only the first problem of a document.
Test(environmentDocument, allProblemsAreReportedAtOnce)
{
    auto document = replaced(sampleDocument(), "= 200", "= -1");
    document = replaced(document, "count = 2", "count = 0");
    document = replaced(document, "max_accelerators = 24", "max_accelerators = -5");
    const auto parsed = parseEnvironment(document);
    cr_assert_eq(parsed.problems.size(), 3);
    cr_assert_eq(parsed.problems.back().line, 24);
}

// Guards against an exception for a document that is empty or not valid TOML.
Test(environmentDocument, brokenDocumentsAreProblems)
{
    const auto broken = parseEnvironment("[environment]\nname = \n");
    cr_assert_eq(broken.problems.size(), 1);
    cr_assert_eq(broken.problems.front().line, 2);
    cr_assert_eq(parseEnvironment("").problems.size(), 2);
    cr_assert_eq(parseEnvironment("workspace = 3").problems.size(), 3);
    cr_assert_eq(parseEnvironment("policy = 3").problems.size(), 3);
}

// Guards against a proof of guarantees that do not fit at the same time, and against a refusal of those that fit.
Test(guaranteeProof, shapesHaveToFitTogether)
{
    cr_assert(fits({ gang(2, 16, adjacency::Rack) }));
    cr_assert_not(fits({ gang(3, 16, adjacency::Rack) }));
    cr_assert_not(fits({ gang(1, 17, adjacency::Rack) }));
    cr_assert(fits({ gang(1, 17, adjacency::AdjacentRacks) }));
    cr_assert(fits({ gang(4, 8, adjacency::Worker) }));
    cr_assert_not(fits({ gang(1, 9, adjacency::Worker) }));
    cr_assert(fits({ gang(1, 32, adjacency::Any) }));
    cr_assert_not(fits({ gang(1, 33, adjacency::Any) }));
    cr_assert(fits({ gang(1, 8, adjacency::Any), gang(1, 16, adjacency::Rack), gang(1, 8, adjacency::Worker) }));
    cr_assert_not(fits({ gang(1, 17, adjacency::Any), gang(1, 16, adjacency::Rack) }));
}

// Guards against a gang that is placed in racks that are not adjacent.
Test(guaranteeProof, racksWithAGapAreNotAdjacent)
{
    auto capacity = sampleCapacity();
    capacity.front().groups.back().rackPosition = 3;
    const auto environment = withShapes({ gang(1, 17, adjacency::AdjacentRacks) });
    cr_assert_eq(proveGuarantees(environment, capacity).size(), 1);
}

// Guards against a quota that exceeds the guarantee and the borrowing limit of the workspace.
Test(guaranteeProof, quotasStayWithinGuaranteeAndBorrowing)
{
    auto environment = withShapes({ gang(2, 16, adjacency::Rack) });
    auto& workspace = environment.domains.front().workspaces.front();
    workspace.maxBorrowedAccelerators = 8;
    workspace.teams = { { "a", 40 }, { "b", 41 } };
    const auto problems = proveGuarantees(environment, sampleCapacity());
    cr_assert_eq(problems.size(), 1);
    cr_assert_eq(problems.front().key, "workspace.rosters.domain.seattle.team.b.max_accelerators");
    cr_assert(problems.front().allowed.starts_with("0 to 40"));
}
