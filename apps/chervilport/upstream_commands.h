#pragma once

namespace chervilport {

struct client_options;

/// Lists the executors that the instance knows.
int listUpstreams(const client_options&, int argc, char** argv);

/// Drains an executor.
int drainUpstream(const client_options&, int argc, char** argv);

} // namespace chervilport
