#include "Process.h"

#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace Radishplank::Test {

namespace {

int start(const std::string &program, std::vector<std::string> arguments,
          const std::string &outputPath, const std::string &errorPath)
{
    arguments.insert(arguments.begin(), program);
    std::vector<char *> pointers;
    for (auto &argument : arguments)
        pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int flags = O_WRONLY | O_CREAT | O_APPEND;
    constexpr mode_t mode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputPath.c_str(), flags, mode);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errorPath.c_str(), flags, mode);
    // Child processes must not inherit the sockets of the test program.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    int processId = -1;
    const int result
            = posix_spawn(&processId, program.c_str(), &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0)
        throw std::runtime_error("cannot start " + program);
    return processId;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

int statusOf(int raw)
{
    return WIFEXITED(raw) ? WEXITSTATUS(raw) : -WTERMSIG(raw);
}

} // namespace

Process::Process(const std::string &program, std::vector<std::string> arguments,
                 std::string directory, std::string name)
    : m_directory(std::move(directory))
    , m_name(std::move(name))
{
    const auto ready = m_directory + "/" + m_name + ".ready";
    std::filesystem::remove(ready);
    arguments.push_back("--ready-file=" + ready);
    const auto log = m_directory + "/" + m_name + ".log";
    m_processId = start(program, std::move(arguments), log, log);
}

Process::~Process()
{
    if (m_hasEnded)
        return;
    ::kill(m_processId, SIGKILL);
    (void)waitForEnd();
}

boost::json::object Process::waitUntilReady()
{
    const auto ready = m_directory + "/" + m_name + ".ready";
    if (!eventually([&] { return std::filesystem::exists(ready) || !isRunning(); })
        || !std::filesystem::exists(ready))
        throw std::runtime_error(m_name + " did not start: " + logText());
    return boost::json::parse(readFile(ready)).as_object();
}

void Process::signal(int number)
{
    if (!m_hasEnded)
        ::kill(m_processId, number);
}

void Process::kill()
{
    signal(SIGKILL);
    (void)waitForEnd();
}

void Process::freeze()
{
    signal(SIGSTOP);
}

void Process::thaw()
{
    signal(SIGCONT);
}

int Process::waitForEnd()
{
    if (m_hasEnded)
        return m_status;
    int raw = 0;
    ::waitpid(m_processId, &raw, 0);
    m_hasEnded = true;
    m_status = statusOf(raw);
    return m_status;
}

bool Process::isRunning()
{
    if (m_hasEnded)
        return false;
    int raw = 0;
    if (::waitpid(m_processId, &raw, WNOHANG) == m_processId) {
        m_hasEnded = true;
        m_status = statusOf(raw);
    }
    return !m_hasEnded;
}

std::string Process::logText() const
{
    return readFile(m_directory + "/" + m_name + ".log");
}

ProgramOutput runProgram(const std::string &program, std::vector<std::string> arguments,
                         const std::string &directory)
{
    const auto outputPath = directory + "/program.out";
    const auto errorPath = directory + "/program.err";
    std::filesystem::remove(outputPath);
    std::filesystem::remove(errorPath);
    const int processId = start(program, std::move(arguments), outputPath, errorPath);
    int raw = 0;
    ::waitpid(processId, &raw, 0);
    return {statusOf(raw), readFile(outputPath), readFile(errorPath)};
}

} // namespace Radishplank::Test
