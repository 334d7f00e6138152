#pragma once

namespace chervilport {

struct client_options;

/// Submits a job.
int submitJob(const client_options&, int argc, char** argv);

/// Shows a job, or waits for its end.
int showJob(const client_options&, int argc, char** argv);

/// Lists jobs.
int listJobs(const client_options&, int argc, char** argv);

/// Cancels a job.
int cancelJob(const client_options&, int argc, char** argv);

} // namespace chervilport
