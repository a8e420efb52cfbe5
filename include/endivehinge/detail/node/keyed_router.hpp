#ifndef ENDIVEHINGE_DETAIL_NODE_KEYED_ROUTER_HPP
#define ENDIVEHINGE_DETAIL_NODE_KEYED_ROUTER_HPP

#include <optional> // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/core/outcome.hpp>
#include <endivehinge/core/request.hpp>
#include <endivehinge/detail/node/key_ownership.hpp>
#include <endivehinge/detail/node/owner_locator.hpp>
#include <endivehinge/detail/node/remote_executor.hpp>
#include <endivehinge/detail/node/request_id_source.hpp>
#include <endivehinge/detail/node/request_router.hpp>

namespace endivehinge::detail
{

/// @brief what a keyed_router works with; all of it outlives the router
struct keyed_router_parts
{
    owner_locator & locator;
    key_ownership & ownership;
    request_router & router;
    remote_executor & remote;
    request_id_source & ids;
    clock const & time;
};

/// @brief brings a request that runs at most once to the owner of its key
class keyed_router
{
public:
    /// @param self this node
    keyed_router(node_name self, keyed_router_parts parts);

    /// @brief gives a request with a key its one outcome
    /// @param keyed has a key and may not be repeated
    /// @note thread safety: any thread; blocks until the outcome
    [[nodiscard]] outcome route(request const & keyed);

    /// @brief acts as the owner of the key: the request is placed on a target
    ///        of the service unless its key is known
    /// @note thread safety: any thread; blocks until the outcome
    [[nodiscard]] outcome execute_as_owner(request const & keyed);

private:
    std::optional<owner_location> look_again(request const & keyed,
                                             owner_location const & refused);
    outcome try_on_owner(owner_location const & found, request const & keyed);

    node_name self;
    keyed_router_parts parts;
};

} // namespace endivehinge::detail

#endif
