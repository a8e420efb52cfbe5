#ifndef ENDIVEHINGE_DETAIL_GATEWAY_COPY_SOURCE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_COPY_SOURCE_HPP

#include <string>  // string
#include <utility> // move

#include <endivehinge/core/clock.hpp>
#include <endivehinge/detail/gateway/call_result.hpp>

namespace endivehinge::detail
{

/// @brief where a copy of stored objects comes from, and when it arrived
struct copy_source
{
    /// @param source_name the store or the node that sent the copy
    /// @param result the last call that the copy took
    copy_source(std::string source_name, call_result const & result)
        : name(std::move(source_name))
        , transfer(result.transfer)
        , received(result.received)
    {
    }

    std::string name;
    // from the first byte of the response to its end
    duration transfer;
    time_point received;
};

} // namespace endivehinge::detail

#endif
