// The simulator's adapter: reads a batch of events a line from standard input and writes the actions a line
// to standard output. Exit status 0: end of input; 2: a line that cannot be used.
#include "simhost/reader.hpp"

#include <iostream>

int main() {
    std::ios::sync_with_stdio(false);
    pineridge::simhost::Reader reader;
    std::string line;
    while (std::getline(std::cin, line)) {
        if (line.empty()) continue;
        try {
            std::cout << reader.reply(line) << '\n' << std::flush;
        } catch (const pineridge::BadInput &bad) {
            std::cerr << "pineridge: " << bad.what() << std::endl;
            return 2;
        }
    }
    return 0;
}
