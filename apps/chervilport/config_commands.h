#pragma once

namespace chervilport {

struct client_options;

/// Prints the document in production, or the one in trial with `--trial`. Returns the exit code, as all of these do;
/// throws chervilport_error.
int showConfig(const client_options&, int argc, char** argv);

/// Submits a document as the new trial version.
int putConfig(const client_options&, int argc, char** argv);

/// Requests the proof of the document in trial.
int proveConfig(const client_options&, int argc, char** argv);

/// Promotes the proven document in trial to production.
int promoteConfig(const client_options&, int argc, char** argv);

/// Lists the accepted changes of the configuration.
int listConfigHistory(const client_options&, int argc, char** argv);

/// Prints the versions in trial and in production.
int showConfigStatus(const client_options&, int argc, char** argv);

} // namespace chervilport
