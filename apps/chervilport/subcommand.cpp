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
      --key TEXT              idempotency key; a resend under the same key gives the same job
      --class NAME            urgent, standard or batch (standard)
      --tasks N               tasks of the gang, 1 to 64 (1)
      --accelerators N        accelerators of each task (1)
      --cores N               cores of each task (1)
      --memory-mb N           memory of each task (1024)
      --placement NAME        any, adjacent_racks, rack or worker (any)
      --run-time SECONDS      declared run time
      --deadline SECONDS      time from now after which the result is useless
      --payload TEXT          what the workers are to run
      --failure-domain NAME   home domain (that of the instance)
      --checkpointable        the workers can checkpoint the job
      --not-preemptible       the job must not be stopped for a guarantee
      --file FILE             read the submission as JSON; - for standard input; later options replace members
      --wait                  wait for the end of the job
)";

    constexpr std::string_view explainDetails = R"(
Reads the logs of any number of instances, or standard input, and calls none. Prints what names the job, what happened
to its workers and to the leader meanwhile, how it ended and why, and what the logs do not tell. --json prints the same
as JSON.
)";

    constexpr std::string_view showConfigDetails = R"(Options:
      --trial                 the document in trial instead of the one in production
)";

    constexpr std::string_view putConfigDetails = R"(Options:
      --expected-version N    version that is in trial now, 0 for none (required)
      --key TEXT              operation key; a resend under the same key gets the first answer (generated and printed)
      --operator NAME         name for the history (unknown)

FILE is the TOML document; - for standard input. A conflict prints the version in trial and the keys that differ.
)";

    constexpr std::string_view proveConfigDetails = R"(Options:
      --expected-version N    version in trial that is to be proven (required)
      --key TEXT              operation key; a resend under the same key gets the first answer (generated and printed)
      --operator NAME         name for the history (unknown)
)";

    constexpr std::string_view promoteConfigDetails = R"(Options:
      --expected-version N    version in trial that is to go to production (required)
      --hash HEX              hash of that version as put, prove or status print it (required)
      --key TEXT              operation key; a resend under the same key gets the first answer (generated and printed)
      --operator NAME         name for the history (unknown)
)";

    constexpr auto subcommands = std::to_array<subcommand>({
        { "job", "submit", "[options]", "Submit a job.", submitDetails, submitJob },
        { "job", "show", "[--wait] ID", "Show a job, or wait for its end.", "", showJob },
        { "job", "list", "[--workspace NAME] [--failure-domain NAME]", "List the newest jobs.", "", listJobs },
        { "job", "cancel", "ID", "Cancel a job.", "", cancelJob },
        { "job", "explain", "ID [FILE...]", "Tell from logs what became of a job.", explainDetails, explainJob },
        { "config", "show", "[--trial]", "Print a configuration document.", showConfigDetails, showConfig },
        { "config", "put", "--expected-version N [options] FILE", "Put a document into trial.", putConfigDetails,
            putConfig },
        { "config", "prove", "--expected-version N [options]", "Prove the document in trial as a whole.",
            proveConfigDetails, proveConfig },
        { "config", "promote", "--expected-version N --hash HEX [options]", "Put the proven document into production.",
            promoteConfigDetails, promoteConfig },
        { "config", "history", "", "List the accepted steps, newest first.", "", listConfigHistory },
        { "config", "status", "", "Show the versions in trial and in production.", "", showConfigStatus },
        { "upstream", "list", "", "List the executors that the instance knows.", "", listUpstreams },
        { "upstream", "drain", "IP:PORT", "Give an executor no new requests.", "", drainUpstream },
        { "instance", "status", "", "Show the status of the instance that answers.", "", showStatus },
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
