#ifndef ENDIVEHINGE_DETAIL_NODE_NODE_HPP
#define ENDIVEHINGE_DETAIL_NODE_NODE_HPP

#include <memory> // unique_ptr

#include <endivehinge/core/failure.hpp>
#include <endivehinge/detail/node/node_ports.hpp>
#include <endivehinge/detail/settings/node_settings.hpp>

namespace endivehinge::detail
{

class node_parts;

/// @brief a node: owns its components and their threads
class node
{
public:
    /// @brief creates a node and starts all its components
    /// @param settings must have passed validation
    /// @param reason set if a component could not start
    /// @return null if a component could not start
    [[nodiscard]] static std::unique_ptr<node>
    start(node_settings const & settings, failure & reason);

    node(node const &) = delete;
    node & operator=(node const &) = delete;

    /// @brief stops at once; call drain first to finish requests in progress
    ~node();

    /// @brief the ports that the node listens on
    /// @note thread safety: any thread
    [[nodiscard]] node_ports ports() const;

    /// @brief leaves the cluster: admits no new requests and waits for those in
    ///        progress
    /// @return whether all requests finished before the shutdown deadline
    /// @note thread safety: one thread
    [[nodiscard]] bool drain();

private:
    explicit node(std::unique_ptr<node_parts> started_components);

    std::unique_ptr<node_parts> components;
};

} // namespace endivehinge::detail

#endif
