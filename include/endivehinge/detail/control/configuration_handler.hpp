#ifndef ENDIVEHINGE_DETAIL_CONTROL_CONFIGURATION_HANDLER_HPP
#define ENDIVEHINGE_DETAIL_CONTROL_CONFIGURATION_HANDLER_HPP

#include <coordination.pb.h> // wire::pull_request, wire::push_request

namespace endivehinge::detail
{

/// @brief answers peers that exchange configuration objects
class configuration_handler
{
public:
    configuration_handler() = default;
    configuration_handler(configuration_handler const &) = delete;
    configuration_handler & operator=(configuration_handler const &) = delete;
    virtual ~configuration_handler() = default;

    /// @brief gives a peer what is newer than its digest
    /// @return false where it cannot answer now
    /// @note thread safety: several threads at a time
    virtual bool pull(wire::pull_request const & request,
                      wire::pull_response & response) = 0;

    /// @brief takes in what a peer sends
    /// @return false where it cannot answer now
    /// @note thread safety: several threads at a time
    virtual bool push(wire::push_request const & request,
                      wire::push_response & response) = 0;
};

} // namespace endivehinge::detail

#endif
