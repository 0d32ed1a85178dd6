#include "cli/commands.hpp"

#include <iostream>

namespace pineridge::cli {

Command version(CLI::App &app) {
    const auto *said = app.add_subcommand("version", "print the version");
    return [said]() -> std::optional<int> {
        if (!said->parsed()) return std::nullopt;
        std::cout << "pineridge " << PINERIDGE_VERSION << '\n';
        return 0;
    };
}

} // namespace pineridge::cli
