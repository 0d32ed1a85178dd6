// The sub-commands: each adds itself to the command line, and answers with the exit status when it was asked
// for.
#pragma once

#include <CLI/CLI.hpp>

#include <functional>
#include <optional>

namespace pineridge::cli {

using Command = std::function<std::optional<int>()>; // nothing where another one was asked for

Command serve(CLI::App &app);
Command check(CLI::App &app);
Command version(CLI::App &app);
Command release(CLI::App &app);
Command registry(CLI::App &app);
Command admission(CLI::App &app);

} // namespace pineridge::cli
