#ifndef ENDIVEHINGE_DETAIL_NODE_ADMIN_HANDLER_HPP
#define ENDIVEHINGE_DETAIL_NODE_ADMIN_HANDLER_HPP

#include <endivehinge/coordination/member.hpp>
#include <endivehinge/core/clock.hpp>
#include <endivehinge/detail/http/http_handler.hpp>
#include <endivehinge/detail/metrics/metrics.hpp>
#include <endivehinge/detail/node/configuration_holder.hpp>
#include <endivehinge/detail/node/local_executor.hpp>

namespace endivehinge::detail
{

/// @brief answers the target's announcements, and operators
class admin_handler final : public http_handler
{
public:
    /// @param executor outlives the handler
    /// @param members outlives the handler
    /// @param current outlives the handler
    /// @param time outlives the handler
    admin_handler(local_executor & executor,
                  member_directory const & members,
                  configuration_holder const & current,
                  clock const & time);

    /// @brief shows these metrics from now on
    /// @param recorded outlives the handler
    /// @note thread safety: before the first request
    void show(metrics const & recorded);

    [[nodiscard]] http_response handle(http_request message,
                                       http_connection connection) override;

private:
    http_response announce(std::string const & body);
    http_response status() const;
    http_response exposition() const;
    http_response burn() const;

    local_executor & executor;
    member_directory const & members;
    configuration_holder const & current;
    clock const & time;
    metrics const * recorded = nullptr;
};

} // namespace endivehinge::detail

#endif
