#pragma once

namespace chervilport {

struct client_options;

/// Prints the status of the first reachable instance. Returns the exit code; throws chervilport_error.
int showStatus(const client_options&, int argc, char** argv);

} // namespace chervilport
