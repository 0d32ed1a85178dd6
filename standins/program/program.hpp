// The program as a person or a platform starts it: with its words, its output in a file, while a loop goes
// on.
#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <filesystem>
#include <string>
#include <vector>

namespace pineridge::standins {

struct Ran {
    int status; // below 0: ended by a signal
    std::string said; // standard output and error
};

class Program {
  public:
    // Its output goes to a file in the folder.
    Program(const std::filesystem::path &folder, const std::string &program, std::vector<std::string> words);
    ~Program(); // killed, if it still runs
    Program(const Program &) = delete;

    bool over(); // has it ended?
    int status() const { return status_; }
    void signal(int number) const;
    std::string said() const;
    double cpu_s() const; // used so far; 0 where it has ended
    long memory_kb() const; // resident; 0 where it has ended

  private:
    std::filesystem::path out_;
    int pid_ = 0, status_ = -1;
    bool over_ = false;
};

// Until it has ended, while the loop goes on.
Ran run(boost::asio::io_context &io, const std::filesystem::path &folder, const std::string &program,
        std::vector<std::string> words);

// The loop goes on for so long.
void run_for(boost::asio::io_context &io, std::chrono::milliseconds span);
// This process may open as many descriptors as it is let, up to so many.
void allow_descriptors(std::size_t most);
long resident_kb(const std::string &process); // a process id, or "self"; 0: there is none

bool has(const Ran &ran, const std::string &part); // else what was said goes to standard error

} // namespace pineridge::standins
