#pragma once

#include <boost/json/object.hpp>
#include <string>
#include <vector>

namespace Radishplank::Test {

/// A process started by a test; killed when the test ends.
class Process
{
public:
    /// Starts the program; its log goes to a file beside the ready file.
    Process(const std::string &program, std::vector<std::string> arguments, std::string directory,
            std::string name);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// Waits until the process has written its ready file, and returns what it says.
    boost::json::object waitUntilReady();
    void signal(int number);
    void kill();
    void freeze();
    void thaw();
    /// Waits for the end and returns the exit status, or minus the signal number.
    int waitForEnd();
    [[nodiscard]] bool isRunning();
    [[nodiscard]] std::string logText() const;

private:
    std::string m_directory;
    std::string m_name;
    int m_processId = -1;
    int m_status = 0;
    bool m_hasEnded = false;
};

/// Runs a program to its end and returns its exit status, standard output and standard error.
struct ProgramOutput
{
    int status = 0;
    std::string output;
    std::string error;
};
ProgramOutput runProgram(const std::string &program, std::vector<std::string> arguments,
                         const std::string &directory);

/// Waits until the condition holds, for as long as a busy machine may need; false if it never does.
template<typename Condition>
bool eventually(Condition condition);

} // namespace Radishplank::Test

#include <chrono>
#include <thread>

template<typename Condition>
bool Radishplank::Test::eventually(Condition condition)
{
    constexpr auto patience = std::chrono::seconds(60);
    const auto until = std::chrono::steady_clock::now() + patience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > until)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}
