#ifndef ENDIVEHINGE_DETAIL_LOG_LOG_HPP
#define ENDIVEHINGE_DETAIL_LOG_LOG_HPP

#include <initializer_list> // initializer_list
#include <string>           // string
#include <string_view>      // string_view

namespace endivehinge::detail
{

/// @brief how much a line matters
enum class log_level
{
    debug,
    info,
    warning,
    error,
};

/// @brief one structured field of a line
struct log_field
{
    std::string_view name;
    std::string value;
};

/// @brief writes lines with the fixed prefix of one part
/// @note thread safety: any thread
class logger
{
public:
    /// @param prefix names the part, such as "ingress"
    explicit logger(std::string_view prefix);

    void debug(std::string_view sentence,
               std::initializer_list<log_field> fields = {}) const;
    void info(std::string_view sentence,
              std::initializer_list<log_field> fields = {}) const;
    void warning(std::string_view sentence,
                 std::initializer_list<log_field> fields = {}) const;
    void error(std::string_view sentence,
               std::initializer_list<log_field> fields = {}) const;

private:
    void write(log_level level,
               std::string_view sentence,
               std::initializer_list<log_field> fields) const;

    std::string prefix;
};

/// @brief sends the lines of this process to standard error
/// @param least the least level that is written
/// @note thread safety: call once, before other threads start
void start_logging(log_level least);

} // namespace endivehinge::detail

#endif
