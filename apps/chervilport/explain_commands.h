#pragma once

namespace chervilport {

struct client_options;

/// Prints the timeline of a job, built from log files. Returns the exit code; throws chervilport_error.
int explainJob(const client_options&, int argc, char** argv);

} // namespace chervilport
