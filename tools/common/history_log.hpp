#ifndef ENDIVEHINGE_TOOLS_COMMON_HISTORY_LOG_HPP
#define ENDIVEHINGE_TOOLS_COMMON_HISTORY_LOG_HPP

#include <string> // string
#include <vector> // vector

#include <common/history_record.hpp>

namespace endivehinge::tools
{

/// @brief appends records to a file; what is there stays
/// @note a record is out of the process before `append` returns, so that a
///       killed process leaves what it wrote
class history_log
{
public:
    /// @param path the file; empty: nothing is written
    explicit history_log(std::string const & path);
    history_log(history_log const &) = delete;
    history_log & operator=(history_log const &) = delete;
    ~history_log();

    /// @brief writes a record with the time of the call
    /// @note thread safety: any thread
    void append(history_record record);

private:
    int file = -1;
};

/// @brief the records of a file; a line cut by a kill is left out
/// @return nothing where the file cannot be read
[[nodiscard]] std::vector<history_record>
read_history(std::string const & path);

} // namespace endivehinge::tools

#endif
