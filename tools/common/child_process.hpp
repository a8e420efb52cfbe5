#ifndef ENDIVEHINGE_TOOLS_COMMON_CHILD_PROCESS_HPP
#define ENDIVEHINGE_TOOLS_COMMON_CHILD_PROCESS_HPP

#include <cstdint>  // uint16_t
#include <memory>   // unique_ptr
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <sys/types.h> // pid_t

#include <absl/time/time.h>  // Duration
#include <nlohmann/json.hpp> // json

#include <endivehinge/core/failure.hpp>

namespace endivehinge::tools
{

/// @brief a program that a test or the demonstration started
/// @note each program prints one JSON line once it serves
class child_process
{
public:
    /// @brief starts a program and waits for the line that says it serves
    /// @param command the program and its arguments
    /// @param log_path where its standard error goes; empty: discarded
    [[nodiscard]] static std::unique_ptr<child_process>
    start(std::vector<std::string> const & command,
          std::string const & log_path,
          failure & reason);

    child_process(child_process const &) = delete;
    child_process & operator=(child_process const &) = delete;

    /// @brief kills it if it still runs
    ~child_process();

    /// @brief a port that it printed
    [[nodiscard]] std::uint16_t port(std::string const & name) const;

    /// @brief sends a signal to it
    void signal(int number) const;

    /// @brief waits for its end
    /// @return its exit code, 128 and more where a signal ended it
    [[nodiscard]] std::optional<int> wait(absl::Duration patience);

    /// @brief whether it still runs
    [[nodiscard]] bool is_running() const;

    /// @brief its process id
    [[nodiscard]] pid_t id() const;

private:
    child_process(pid_t started, int output_descriptor);

    bool read_ready_line();

    pid_t process;
    int output;
    bool ended = false;
    nlohmann::json ready;
};

} // namespace endivehinge::tools

#endif
