// `version`: prints the program's version.
#include "cli/commands.hpp"

#include <iostream>

namespace pineridge::cli {

Command version(CLI::App &app) {
    const auto *command = app.add_subcommand("version", "prints the version");
    return [command]() -> std::optional<int> {
        if (!command->parsed()) return std::nullopt;
        std::cout << "pineridge " << PINERIDGE_VERSION << '\n';
        return 0;
    };
}

} // namespace pineridge::cli
