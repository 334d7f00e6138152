#pragma once

namespace chervilport {

struct client_options;

/// Prints the document in production or in trial.
int showConfig(const client_options&, int argc, char** argv);

/// Puts a document into trial.
int putConfig(const client_options&, int argc, char** argv);

/// Proves the document in trial.
int proveConfig(const client_options&, int argc, char** argv);

/// Promotes the proven document in trial.
int promoteConfig(const client_options&, int argc, char** argv);

/// Lists the accepted steps.
int listConfigHistory(const client_options&, int argc, char** argv);

/// Shows the versions in trial and in production.
int showConfigStatus(const client_options&, int argc, char** argv);

} // namespace chervilport
