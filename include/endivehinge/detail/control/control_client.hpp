#ifndef ENDIVEHINGE_DETAIL_CONTROL_CONTROL_CLIENT_HPP
#define ENDIVEHINGE_DETAIL_CONTROL_CONTROL_CLIENT_HPP

#include <memory>   // unique_ptr
#include <optional> // optional

#include <coordination.pb.h> // wire::pull_request, ...

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/failure.hpp>
#include <endivehinge/detail/control/control_limits.hpp>

namespace endivehinge::detail
{

/// @brief calls the control servers of other nodes
/// @note keeps a bounded number of connections; the one that was used least
///       recently makes place, and one that failed is not used again
class control_client
{
public:
    explicit control_client(control_limits const & limits);
    control_client(control_client const &) = delete;
    control_client & operator=(control_client const &) = delete;
    ~control_client();

    /// @brief asks a peer for configuration objects
    /// @param timeout the call ends by then
    /// @param reason carries the step and the peer
    /// @note thread safety: any thread; blocks on I/O
    [[nodiscard]] std::optional<wire::pull_response>
    pull(endpoint const & peer,
         wire::pull_request const & request,
         duration timeout,
         failure & reason);

    /// @brief sends configuration objects to a peer
    /// @note as pull
    [[nodiscard]] std::optional<wire::push_response>
    push(endpoint const & peer,
         wire::push_request const & request,
         duration timeout,
         failure & reason);

    /// @brief asks a peer to go along with a lease
    /// @note as pull
    [[nodiscard]] std::optional<wire::lease_response>
    renew_lease(endpoint const & peer,
                wire::lease_request const & request,
                duration timeout,
                failure & reason);

    /// @brief hands idempotency records to their next owner
    /// @note as pull; a failure does not say that the peer has not taken them
    [[nodiscard]] std::optional<wire::handover_response>
    hand_over(endpoint const & peer,
              wire::handover_request const & request,
              duration timeout,
              failure & reason);

    /// @brief sends a peer the fingerprints of requests that crash targets
    /// @return whether the peer has them
    /// @note as pull
    [[nodiscard]] bool share_marks(endpoint const & peer,
                                   wire::share_marks_request const & request,
                                   duration timeout,
                                   failure & reason);

private:
    class channel_pool;

    std::unique_ptr<channel_pool> channels;
};

} // namespace endivehinge::detail

#endif
