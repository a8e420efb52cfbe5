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

/// @brief serves the admin port: announcements of the target, and the status,
///        metrics and burn pages for operators
class admin_handler final : public http_handler
{
public:
    /// @param executor must outlive the handler
    /// @param members must outlive the handler
    /// @param current must outlive the handler
    /// @param time must outlive the handler
    admin_handler(local_executor & executor,
                  member_directory const & members,
                  configuration_holder const & current,
                  clock const & time);

    /// @brief sets the metrics that /metrics and /burn return
    /// @param node_metrics must outlive the handler
    /// @note thread safety: not synchronized; call it before the first request
    void set_metrics(metrics const & node_metrics);

    [[nodiscard]] http_response handle(http_request message,
                                       http_connection connection) override;

private:
    http_response handle_announcement(std::string const & body);
    http_response status_page() const;
    http_response metrics_page() const;
    http_response burn_page() const;

    local_executor & executor;
    member_directory const & members;
    configuration_holder const & current;
    clock const & time;
    metrics const * node_metrics = nullptr;
};

} // namespace endivehinge::detail

#endif
