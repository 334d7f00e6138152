#pragma once

namespace chervilport {

struct client_options;

/// Lists the executors known to the instance. Returns the exit code, as both of these do; throws chervilport_error.
int listUpstreams(const client_options&, int argc, char** argv);

/// Drains the executor at the given address, so that it gets no new requests.
int drainUpstream(const client_options&, int argc, char** argv);

} // namespace chervilport
