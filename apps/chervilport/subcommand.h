#pragma once

#include <span>
#include <string>
#include <string_view>

namespace chervilport {

struct client_options;

/// One subcommand of the command line.
struct subcommand {
    /// First word, for example `job`.
    std::string_view group;
    /// Second word, for example `submit`.
    std::string_view name;
    /// Arguments for the help text.
    std::string_view arguments;
    /// One sentence for the help text.
    std::string_view summary;
    /// Options and further explanation for `--help`; may be empty.
    std::string_view details;
    /// Runs with its own arguments, of which the first is its name as for getopt_long, and returns an exit code. Throws
    /// chervilport_error.
    int (*run)(const client_options&, int argc, char** argv);
};

/// Returns all subcommands in the order of the help text.
std::span<const subcommand> allSubcommands();

/// Prints the help of a subcommand to standard output.
void printHelp(const subcommand&);

} // namespace chervilport
