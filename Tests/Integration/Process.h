#pragma once

#include <boost/json/object.hpp>
#include <string>
#include <vector>

namespace Radishplank::Test {

/// A child process of a test; the destructor kills it.
class Process
{
public:
    /// Starts the program. Its output goes to a log file in the same directory as the ready file.
    Process(const std::string &program, std::vector<std::string> arguments, std::string directory,
            std::string name);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// Waits until the process has written its ready file, and returns the contents.
    boost::json::object waitUntilReady();
    void signal(int number);
    void kill();
    void freeze();
    void thaw();
    /// Waits for the process to exit and returns its exit status, or the negated signal number.
    int waitForEnd();
    [[nodiscard]] bool isRunning();
    [[nodiscard]] int id() const { return m_processId; }
    [[nodiscard]] std::string logText() const;

private:
    std::string m_directory;
    std::string m_name;
    int m_processId = -1;
    int m_status = 0;
    bool m_hasEnded = false;
};

/// Exit status, standard output and standard error of a program.
struct ProgramOutput
{
    int status = 0;
    std::string output;
    std::string error;
};
/// Runs a program and waits for it to exit.
ProgramOutput runProgram(const std::string &program, std::vector<std::string> arguments,
                         const std::string &directory);

/// Polls until the condition holds. Returns false after a timeout long enough for a busy machine.
template<typename Condition>
bool eventually(Condition condition);

} // namespace Radishplank::Test

#include <chrono>
#include <thread>

template<typename Condition>
bool Radishplank::Test::eventually(Condition condition)
{
    constexpr auto timeout = std::chrono::seconds(60);
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > until)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}
