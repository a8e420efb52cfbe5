#ifndef ENDIVEHINGE_DETAIL_GATEWAY_PLACEMENT_TRACE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_PLACEMENT_TRACE_HPP

#include <string> // string

#include <endivehinge/detail/gateway/dispatch_result.hpp>
#include <endivehinge/policy/target_candidate.hpp>

namespace endivehinge::detail
{

/// @brief trace of the placements of one request, for its log line
/// @note thread safety: none; used on the event loop only
class placement_trace
{
public:
    /// @brief adds a completed placement
    /// @param candidate data on which the selection was based
    /// @param outcome stable name of the result, such as "refused"
    void add(target_candidate const & candidate,
             dispatch_result const & result,
             char const * outcome);

    /// @brief one entry per placement, separated by commas
    [[nodiscard]] std::string const & text() const;

private:
    std::string entries;
};

} // namespace endivehinge::detail

#endif
