#include "standins/program/program.hpp"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/wait.h>

extern char **environ;

namespace pineridge::standins {

namespace {

// Returns a size in KB from the status of a process; 0 where there is no such process.
long status_kb(const std::string &process, const std::string &name) {
    std::ifstream status("/proc/" + process + "/status");
    for (std::string field; status >> field;)
        if (field == name) {
            long size = 0;
            status >> size;
            return size;
        }
    return 0;
}

} // namespace

Program::Program(const std::filesystem::path &folder, const std::string &program,
                 std::vector<std::string> arguments) {
    static int count = 0;
    output_file_ = folder / ("said-" + std::to_string(++count));
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 1, output_file_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    posix_spawn_file_actions_adddup2(&files, 1, 2);
    // Otherwise the program would inherit the listening sockets of the stand-ins, and keep them open.
    posix_spawn_file_actions_addclosefrom_np(&files, 3);
    arguments.insert(arguments.begin(), program);
    std::vector<char *> argv;
    for (std::string &argument : arguments) argv.push_back(argument.data());
    argv.push_back(nullptr);
    const int failed = posix_spawn(&pid_, program.c_str(), &files, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (failed) throw std::runtime_error(program + ": cannot be started");
}

Program::~Program() {
    if (has_ended()) return;
    signal(SIGKILL);
    waitpid(pid_, nullptr, 0);
}

bool Program::has_ended() {
    int status = 0;
    if (ended_ || waitpid(pid_, &status, WNOHANG) == 0) return ended_;
    ended_ = true;
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return true;
}

void Program::signal(int number) const {
    if (!ended_) ::kill(pid_, number);
}

double Program::cpu_s() const {
    std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
    std::string all;
    std::getline(stat, all);
    std::istringstream after(all.substr(std::min(all.size(), all.rfind(')') + 1)));
    std::string skipped;
    double user = 0, kernel = 0;
    for (int i = 0; i < 11; ++i) after >> skipped;
    after >> user >> kernel;
    return (user + kernel) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

long Program::memory_kb() const { return resident_kb(std::to_string(pid_)); }

long Program::anonymous_kb() const { return status_kb(std::to_string(pid_), "RssAnon:"); }

long resident_kb(const std::string &process) { return status_kb(process, "VmRSS:"); }

void run_for(boost::asio::io_context &io, std::chrono::milliseconds duration) {
    const auto end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) io.run_one_until(end);
}

void limit_descriptors(std::size_t max_descriptors) {
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = std::min<rlim_t>(files.rlim_max, max_descriptors);
    setrlimit(RLIMIT_NOFILE, &files);
}

std::string Program::output() const {
    std::ostringstream text;
    text << std::ifstream(output_file_).rdbuf();
    return text.str();
}

ProgramResult run(boost::asio::io_context &io, const std::filesystem::path &folder,
                  const std::string &program, std::vector<std::string> arguments) {
    Program child(folder, program, std::move(arguments));
    while (!child.has_ended()) io.run_one_for(std::chrono::milliseconds(5));
    const ProgramResult result{child.status(), child.output()};
    if (result.status != 0) std::cerr << result.output; // shows why, where the caller expects another status
    return result;
}

bool output_contains(const ProgramResult &result, const std::string &part) {
    if (result.output.find(part) != std::string::npos) return true;
    std::cerr << result.output << "lacks: " << part << "\n";
    return false;
}

} // namespace pineridge::standins
