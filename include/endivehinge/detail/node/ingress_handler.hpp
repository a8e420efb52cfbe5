#ifndef ENDIVEHINGE_DETAIL_NODE_INGRESS_HANDLER_HPP
#define ENDIVEHINGE_DETAIL_NODE_INGRESS_HANDLER_HPP

#include <atomic>  // atomic
#include <cstdint> // uint64_t
#include <string>  // string

#include <endivehinge/core/clock.hpp>
#include <endivehinge/detail/http/http_handler.hpp>
#include <endivehinge/detail/node/configuration_holder.hpp>
#include <endivehinge/detail/node/request_router.hpp>

namespace endivehinge::detail
{

/// @brief takes requests from callers, and from the target's own calls
class ingress_handler final : public http_handler
{
public:
    /// @param id_prefix unique to this run of this node
    /// @param current the configuration; outlives the handler
    /// @param router outlives the handler
    /// @param time outlives the handler
    ingress_handler(std::string id_prefix,
                    configuration_holder const & current,
                    request_router & router,
                    clock const & time);

    [[nodiscard]] http_response handle(http_request message,
                                       http_connection connection) override;

private:
    std::optional<request> read(http_request message, outcome & refusal);
    request_id next_id();

    std::string id_prefix;
    std::atomic<std::uint64_t> counter{0};
    configuration_holder const & current;
    request_router & router;
    clock const & time;
};

} // namespace endivehinge::detail

#endif
