#ifndef ENDIVEHINGE_DETAIL_CONTROL_LEASE_HANDLER_HPP
#define ENDIVEHINGE_DETAIL_CONTROL_LEASE_HANDLER_HPP

#include <coordination.pb.h> // wire::lease_request, wire::handover_request

namespace endivehinge::detail
{

/// @brief answers peers on the ownership of idempotency keys
class lease_handler
{
public:
    lease_handler() = default;
    lease_handler(lease_handler const &) = delete;
    lease_handler & operator=(lease_handler const &) = delete;
    virtual ~lease_handler() = default;

    /// @brief answers an owner that asks for more time
    /// @return false where it cannot answer now
    /// @note thread safety: several threads at a time
    virtual bool renew_lease(wire::lease_request const & request,
                             wire::lease_response & response) = 0;

    /// @brief takes over the records of an owner that leaves
    /// @return false where it cannot answer now
    /// @note thread safety: several threads at a time
    virtual bool hand_over(wire::handover_request const & request,
                           wire::handover_response & response) = 0;
};

} // namespace endivehinge::detail

#endif
