#ifndef ENDIVEHINGE_TOOLS_COMMON_REQUEST_MARKS_HPP
#define ENDIVEHINGE_TOOLS_COMMON_REQUEST_MARKS_HPP

#include <string> // string
#include <vector> // vector

#include <endivehinge/core/http_message.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge::tools
{

/// @brief what a caller asks of a target stand-in in the query of a path
struct request_marks
{
    // `call` and `try`: the caller's names; an answer tells them again
    std::string call;
    std::string attempt;
    // `chain=a.b.c`: the services to call, one from the other
    std::vector<std::string> chain;
    // `bytes`: the size of the answer's payload
    std::size_t payload_bytes = 0;

    /// @brief whether the caller wants the answer that tells digests
    [[nodiscard]] bool wants_report() const;
};

/// @brief reads the marks of a path
/// @note pure
[[nodiscard]] request_marks read_marks(std::string const & path);

/// @brief the query that read_marks reads, with its question mark
/// @note pure
[[nodiscard]] std::string write_marks(request_marks const & marks);

/// @brief the first segment of a path, which names the service
/// @note pure
[[nodiscard]] service_name service_of(std::string const & path);

} // namespace endivehinge::tools

#endif
