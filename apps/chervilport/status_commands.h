#pragma once

namespace chervilport {

struct client_options;

/// Shows the status of the instance that answers.
int showStatus(const client_options&, int argc, char** argv);

} // namespace chervilport
