// The subcommands. Each function adds its subcommand to the command line and returns the function that runs
// it.
#pragma once

#include <CLI/CLI.hpp>

#include <functional>
#include <optional>

namespace pineridge::cli {

// Runs the subcommand and returns its exit status, or nothing if another subcommand was given.
using Command = std::function<std::optional<int>()>;

Command serve(CLI::App &app);
Command check(CLI::App &app);
Command version(CLI::App &app);
Command release(CLI::App &app);
Command registry(CLI::App &app);
Command admission(CLI::App &app);

} // namespace pineridge::cli
