#ifndef ENDIVEHINGE_TESTS_SOAK_SOAK_PROCESS_HPP
#define ENDIVEHINGE_TESTS_SOAK_SOAK_PROCESS_HPP

#include <string> // string
#include <vector> // vector

#include <sys/types.h> // pid_t

namespace endivehinge::tests
{

/// @brief a program that the soak started; ends with this object
/// @note thread safety: none
class soak_process
{
public:
    /// @brief starts a program
    /// @param log where its standard output and errors are appended
    soak_process(std::vector<std::string> const & command,
                 std::string const & log);
    soak_process(soak_process const &) = delete;
    soak_process & operator=(soak_process const &) = delete;
    ~soak_process();

    /// @brief sends a signal, unless it has ended
    void signal(int number);

    /// @brief whether it has not ended yet
    [[nodiscard]] bool runs();

    /// @brief its process id
    [[nodiscard]] pid_t process() const;

private:
    pid_t id = -1;
    bool ended = false;
};

} // namespace endivehinge::tests

#endif
