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

Program::Program(const std::filesystem::path &folder, const std::string &program,
                 std::vector<std::string> words) {
    static int count = 0;
    out_ = folder / ("said-" + std::to_string(++count));
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 1, out_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    posix_spawn_file_actions_adddup2(&files, 1, 2);
    words.insert(words.begin(), program);
    std::vector<char *> argv;
    for (std::string &word : words) argv.push_back(word.data());
    argv.push_back(nullptr);
    const int failed = posix_spawn(&pid_, program.c_str(), &files, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (failed) throw std::runtime_error(program + ": cannot be started");
}

Program::~Program() {
    if (over()) return;
    signal(SIGKILL);
    waitpid(pid_, nullptr, 0);
}

bool Program::over() {
    int status = 0;
    if (over_ || waitpid(pid_, &status, WNOHANG) == 0) return over_;
    over_ = true;
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return true;
}

void Program::signal(int number) const {
    if (!over_) ::kill(pid_, number);
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

long resident_kb(const std::string &process) {
    std::ifstream status("/proc/" + process + "/status");
    for (std::string word; status >> word;)
        if (word == "VmRSS:") {
            long size = 0;
            status >> size;
            return size;
        }
    return 0;
}

void run_for(boost::asio::io_context &io, std::chrono::milliseconds span) {
    const auto end = std::chrono::steady_clock::now() + span;
    while (std::chrono::steady_clock::now() < end) io.run_one_until(end);
}

void allow_descriptors(std::size_t most) {
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = std::min<rlim_t>(files.rlim_max, most);
    setrlimit(RLIMIT_NOFILE, &files);
}

std::string Program::said() const {
    std::ostringstream said;
    said << std::ifstream(out_).rdbuf();
    return said.str();
}

Ran run(boost::asio::io_context &io, const std::filesystem::path &folder, const std::string &program,
        std::vector<std::string> words) {
    Program one(folder, program, std::move(words));
    while (!one.over()) io.run_one_for(std::chrono::milliseconds(5));
    const Ran ran{one.status(), one.said()};
    if (ran.status != 0) std::cerr << ran.said; // read where a status is not the one wanted
    return ran;
}

bool has(const Ran &ran, const std::string &part) {
    if (ran.said.find(part) != std::string::npos) return true;
    std::cerr << ran.said << "lacks: " << part << "\n";
    return false;
}

} // namespace pineridge::standins
