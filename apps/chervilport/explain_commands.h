#pragma once

namespace chervilport {

struct client_options;

/// Tells from logs what became of a job.
int explainJob(const client_options&, int argc, char** argv);

} // namespace chervilport
