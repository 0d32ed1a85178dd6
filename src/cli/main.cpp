// The command line. Exit status 0: success; 1: failure; 2: the configuration, settings or options are
// invalid.
#include "base/bad_input.hpp"
#include "cli/commands.hpp"

#include <iostream>
#include <vector>

int main(int argc, char **argv) {
    using namespace pineridge;
    CLI::App app("pineridge: an RPC router that supervises software updates");
    app.require_subcommand(1);
    const std::vector<cli::Command> commands{cli::serve(app),   cli::check(app),    cli::version(app),
                                             cli::release(app), cli::registry(app), cli::admission(app)};
    CLI11_PARSE(app, argc, argv);
    try {
        for (const cli::Command &command : commands)
            if (const std::optional<int> status = command()) return *status;
    } catch (const BadInput &bad) {
        std::cerr << "pineridge: configuration: " << bad.what() << '\n';
        return 2;
    } catch (const std::exception &error) {
        std::cerr << "pineridge: " << error.what() << '\n';
    }
    return 1;
}
