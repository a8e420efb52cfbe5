#ifndef ENDIVEHINGE_DETAIL_GATEWAY_REPLICA_EXCHANGE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_REPLICA_EXCHANGE_HPP

#include <array>    // array
#include <optional> // optional

#include <endivehinge/coordination/object_changes.hpp>
#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/failure.hpp>
#include <endivehinge/detail/gateway/http_types.hpp>
#include <endivehinge/detail/gateway/replica_versions.hpp>

namespace endivehinge::detail
{

/// @brief what one node tells another of its copies of the store
struct replica_exchange
{
    // indexed by object_kind; version 0: the other copy is as new
    std::array<object_changes, 3> kinds;
    // since the store last answered, to this node or one that it follows
    duration age{0};
    // this node, or the one that it follows, has contact to the store
    bool in_contact = false;

    /// @brief whether a request asks for it
    /// @note thread safety: any thread
    [[nodiscard]] static bool is_request(request_message const & message);

    /// @brief asks for what is newer than these versions
    /// @note thread safety: any thread
    [[nodiscard]] static request_message
    write_request(replica_versions const & known);

    /// @brief reads the versions of a request; 0 where one does not parse
    /// @note thread safety: any thread
    [[nodiscard]] static replica_versions
    read_request(request_message const & message);

    /// @brief writes the body of the response
    /// @note thread safety: const; any thread
    [[nodiscard]] std::string write() const;

    /// @brief reads the body of a response
    /// @param reason invalid_message where it does not hold
    /// @note thread safety: any thread
    [[nodiscard]] static std::optional<replica_exchange>
    read(std::string const & body, failure & reason);
};

} // namespace endivehinge::detail

#endif
