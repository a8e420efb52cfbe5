#ifndef ENDIVEHINGE_DETAIL_GATEWAY_PLACEMENT_TRACE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_PLACEMENT_TRACE_HPP

#include <string> // string

#include <endivehinge/detail/gateway/dispatch_result.hpp>
#include <endivehinge/policy/target_candidate.hpp>

namespace endivehinge::detail
{

/// @brief the placements of one request as its log line shows them
/// @note thread safety: none; used on the event loop only
class placement_trace
{
public:
    /// @brief adds a placement that has ended
    /// @param known what the choice was based on
    /// @param what a stable name of the result, such as "refused"
    void add(target_candidate const & known,
             dispatch_result const & result,
             char const * what);

    /// @brief one part for each placement, separated by commas
    [[nodiscard]] std::string const & text() const;

private:
    std::string parts;
};

} // namespace endivehinge::detail

#endif
