#ifndef ENDIVEHINGE_DETAIL_GATEWAY_ROLLOUT_EXCHANGE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_ROLLOUT_EXCHANGE_HPP

#include <optional> // optional
#include <string>   // string

#include <endivehinge/core/failure.hpp>
#include <endivehinge/detail/gateway/http_types.hpp>
#include <endivehinge/policy/rollout_counts.hpp>
#include <endivehinge/policy/rollout_instruction.hpp>

namespace endivehinge::detail
{

/// @brief the poll of a roll-out's coordinator and the response of the node
/// beside a target
/// @note thread safety: any thread
struct rollout_exchange
{
    /// @brief whether a request is a poll
    [[nodiscard]] static bool is_request(request_message const & message);

    /// @brief creates a poll
    [[nodiscard]] static request_message
    write_request(rollout_instruction const & instruction);

    /// @brief reads a poll
    /// @param reason invalid_message if the body is malformed
    [[nodiscard]] static std::optional<rollout_instruction>
    read_request(request_message const & message, failure & reason);

    /// @brief writes the body of a response
    [[nodiscard]] static std::string write(rollout_counts const & counts);

    /// @brief reads the body of a response
    /// @param reason invalid_message if the body is malformed
    [[nodiscard]] static std::optional<rollout_counts>
    read(std::string const & body, failure & reason);
};

} // namespace endivehinge::detail

#endif
