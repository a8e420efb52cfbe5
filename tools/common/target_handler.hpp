#ifndef ENDIVEHINGE_TOOLS_COMMON_TARGET_HANDLER_HPP
#define ENDIVEHINGE_TOOLS_COMMON_TARGET_HANDLER_HPP

#include <endivehinge/core/clock.hpp>
#include <endivehinge/detail/http/http_handler.hpp>

namespace endivehinge::tools
{

/// @brief answers each request with its own body after the service time
class target_handler final : public detail::http_handler
{
public:
    explicit target_handler(duration service_time);

    [[nodiscard]] http_response handle(http_request message,
                                       detail::http_connection) override;

private:
    duration service_time;
};

} // namespace endivehinge::tools

#endif
