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

/// @brief the dependencies of a keyed_router; all of them outlive the router
struct keyed_router_dependencies
{
    owner_locator & locator;
    key_ownership & ownership;
    request_router & router;
    remote_executor & remote;
    request_id_source & ids;
    clock const & time;
};

/// @brief routes a request that must run at most once to the owner of its key
class keyed_router
{
public:
    /// @param self this node
    keyed_router(node_name self, keyed_router_dependencies dependencies);

    /// @brief executes a request with a key at most once and returns its
    ///        outcome
    /// @param keyed must have a key; not idempotent
    /// @note thread safety: any thread; blocks until the outcome
    [[nodiscard]] outcome route(request const & keyed);

    /// @brief executes a request as the owner of its key: places it on a target
    ///        of the service unless a record of the key exists
    /// @note thread safety: any thread; blocks until the outcome
    [[nodiscard]] outcome execute_as_owner(request const & keyed);

private:
    std::optional<owner_location>
    locate_new_owner(request const & keyed, owner_location const & refused);
    outcome execute_on_owner(owner_location const & location,
                             request const & keyed);

    node_name self;
    keyed_router_dependencies dependencies;
};

} // namespace endivehinge::detail

#endif
