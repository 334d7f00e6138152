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
    /// Arguments, as the help text prints them.
    std::string_view arguments;
    /// Summary for the help text, one sentence.
    std::string_view summary;
    /// Options and explanation for `--help`; may be empty.
    std::string_view details;
    /// Runs the subcommand and returns an exit code. The first argument is its name, as getopt_long expects. Throws
    /// chervilport_error.
    int (*run)(const client_options&, int argc, char** argv);
};

/// Returns all subcommands in the order of the help text.
std::span<const subcommand> allSubcommands();

/// Prints the help text of a subcommand to standard output.
void printHelp(const subcommand&);

} // namespace chervilport
