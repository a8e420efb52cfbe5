#ifndef ENDIVEHINGE_TOOLS_COMMON_ANSWER_REPORT_HPP
#define ENDIVEHINGE_TOOLS_COMMON_ANSWER_REPORT_HPP

#include <string> // string

#include <common/request_marks.hpp>

namespace endivehinge::tools
{

/// @brief what an answer of a target stand-in tells of itself
struct answer_report
{
    std::string call;
    std::string request_id;
    std::string target;
    // of the body that the target got
    std::string digest_got;
    // whether the payload has the length and digest that the answer names
    bool whole = false;
};

/// @brief a body: one JSON line, then the payload that the marks ask for
/// @param got the body that the target got
/// @note pure
[[nodiscard]] std::string write_answer(request_marks const & marks,
                                       std::string const & request_id,
                                       std::string const & target,
                                       std::string const & got);

/// @brief reads such a body, whole or not
/// @note pure
[[nodiscard]] answer_report read_answer(std::string const & body);

} // namespace endivehinge::tools

#endif
