#include "apps/chervilport/subcommand.h"

#include "apps/chervilport/config_commands.h"
#include "apps/chervilport/explain_commands.h"
#include "apps/chervilport/job_commands.h"
#include "apps/chervilport/status_commands.h"
#include "apps/chervilport/upstream_commands.h"

#include <array>
#include <iostream>

namespace chervilport {

namespace {

    constexpr std::string_view submitDetails = R"(Options:
      --workspace NAME        workspace (required unless in the file)
      --team NAME             team within the workspace
      --kind NAME             kind of work, for learned run times
      --key TEXT              idempotency key; a retry with the same key returns the same job
      --class NAME            urgent, standard or batch (standard)
      --tasks N               tasks of the gang, 1 to 64 (1)
      --accelerators N        accelerators of each task (1)
      --cores N               cores of each task (1)
      --memory-mb N           memory of each task in MiB (1024)
      --placement NAME        any, adjacent_racks, rack or worker (any)
      --run-time SECONDS      declared run time
      --deadline SECONDS      time from now after which the result has no use
      --payload TEXT          payload that the workers run
      --failure-domain NAME   home failure domain (that of the instance)
      --checkpointable        workers can checkpoint the job
      --not-preemptible       the job must not be preempted for a guarantee
      --file FILE             read the submission as JSON; - for standard input; later options replace members
      --wait                  wait for the end of the job
)";

    constexpr std::string_view explainDetails = R"(
Reads log files of any number of instances, or standard input; sends no calls. Prints the events of the job, the events
of its workers and of the leader during that time, how the job ended and why, and which information is missing in the
logs. --json prints the same as JSON.
)";

    constexpr std::string_view showConfigDetails = R"(Options:
      --trial                 the document in trial instead of the one in production
)";

    constexpr std::string_view putConfigDetails = R"(Options:
      --expected-version N    version that is in trial now, 0 for none (required)
      --key TEXT              operation key (generated and printed); a retry with it returns the first response
      --operator NAME         name for the history (unknown)

FILE is the TOML document; - for standard input. A conflict prints the version in trial and the keys that differ.
)";

    constexpr std::string_view proveConfigDetails = R"(Options:
      --expected-version N    version in trial to prove (required)
      --key TEXT              operation key (generated and printed); a retry with it returns the first response
      --operator NAME         name for the history (unknown)
)";

    constexpr std::string_view promoteConfigDetails = R"(Options:
      --expected-version N    version in trial to promote (required)
      --hash HEX              hash of that version as put, prove or status print it (required)
      --key TEXT              operation key (generated and printed); a retry with it returns the first response
      --operator NAME         name for the history (unknown)
)";

    constexpr auto subcommands = std::to_array<subcommand>({
        { "job", "submit", "[options]", "Submit a job.", submitDetails, submitJob },
        { "job", "show", "[--wait] ID", "Show a job; wait for its end with --wait.", "", showJob },
        { "job", "list", "[--workspace NAME] [--failure-domain NAME]", "List the newest jobs.", "", listJobs },
        { "job", "cancel", "ID", "Cancel a job.", "", cancelJob },
        { "job", "explain", "ID [FILE...]", "Show the timeline of a job from log files.", explainDetails, explainJob },
        { "config", "show", "[--trial]", "Print a configuration document.", showConfigDetails, showConfig },
        { "config", "put", "--expected-version N [options] FILE", "Submit a document as the trial version.",
            putConfigDetails, putConfig },
        { "config", "prove", "--expected-version N [options]", "Prove the document in trial.", proveConfigDetails,
            proveConfig },
        { "config", "promote", "--expected-version N --hash HEX [options]",
            "Promote the proven document to production.", promoteConfigDetails, promoteConfig },
        { "config", "history", "", "List the accepted changes, newest first.", "", listConfigHistory },
        { "config", "status", "", "Show the versions in trial and in production.", "", showConfigStatus },
        { "upstream", "list", "", "List the executors known to the instance.", "", listUpstreams },
        { "upstream", "drain", "IP:PORT", "Drain an executor, so that it gets no new requests.", "", drainUpstream },
        { "instance", "status", "", "Show the status of the first reachable instance.", "", showStatus },
    });

} // namespace

std::span<const subcommand> allSubcommands() { return subcommands; }

void printHelp(const subcommand& command)
{
    std::cout << "Usage: chervilport [global options] " << command.group << ' ' << command.name << ' '
              << command.arguments << "\n\n"
              << command.summary << "\n";
    if (!command.details.empty())
        std::cout << '\n' << command.details;
}

} // namespace chervilport
