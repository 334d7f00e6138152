#pragma once

namespace chervilport {

struct client_options;

/// Submits a job, and waits for its end with `--wait`. Returns the exit code, as all of these do; throws
/// chervilport_error.
int submitJob(const client_options&, int argc, char** argv);

/// Prints a job, after its end with `--wait`.
int showJob(const client_options&, int argc, char** argv);

/// Lists jobs.
int listJobs(const client_options&, int argc, char** argv);

/// Cancels a job.
int cancelJob(const client_options&, int argc, char** argv);

} // namespace chervilport
