// Runs a program as a child process with given arguments. Its output goes to a file, and the caller's
// io_context keeps running meanwhile.
#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <filesystem>
#include <string>
#include <vector>

namespace pineridge::standins {

struct ProgramResult {
    int status; // negative where a signal ended it
    std::string output; // standard output and error
};

class Program {
  public:
    // Starts the program; its output goes to a file in `folder`.
    Program(const std::filesystem::path &folder, const std::string &program,
            std::vector<std::string> arguments);
    ~Program(); // kills the process if it still runs
    Program(const Program &) = delete;

    bool has_ended();
    int status() const { return status_; }
    void signal(int number) const;
    std::string output() const;
    double cpu_s() const; // CPU seconds used so far; 0 after its end
    long memory_kb() const; // resident memory; 0 after its end
    long anonymous_kb() const; // resident memory that no file backs; 0 after its end

  private:
    std::filesystem::path output_file_;
    int pid_ = 0;
    int status_ = -1;
    bool ended_ = false;
};

// Runs the program until it has ended, while the io_context keeps running.
ProgramResult run(boost::asio::io_context &io, const std::filesystem::path &folder,
                  const std::string &program, std::vector<std::string> arguments);

// Runs the io_context for the given time.
void run_for(boost::asio::io_context &io, std::chrono::milliseconds duration);
// Sets the soft limit of open descriptors of this process, at most its hard limit.
void limit_descriptors(std::size_t max_descriptors);
long resident_kb(const std::string &process); // a process id or "self"; 0 where there is no such process

// Whether the output contains `part`; where it does not, the output is printed to standard error.
bool output_contains(const ProgramResult &result, const std::string &part);

} // namespace pineridge::standins
