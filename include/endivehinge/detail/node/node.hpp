#ifndef ENDIVEHINGE_DETAIL_NODE_NODE_HPP
#define ENDIVEHINGE_DETAIL_NODE_NODE_HPP

#include <memory> // unique_ptr

#include <endivehinge/core/failure.hpp>
#include <endivehinge/detail/node/node_ports.hpp>
#include <endivehinge/detail/settings/node_settings.hpp>

namespace endivehinge::detail
{

class node_parts;

/// @brief one node: its parts, their threads and how they are joined
class node
{
public:
    /// @brief starts every part
    /// @param settings checked
    /// @param reason why a part could not start
    [[nodiscard]] static std::unique_ptr<node>
    start(node_settings const & settings, failure & reason);

    node(node const &) = delete;
    node & operator=(node const &) = delete;

    /// @brief stops at once; use drain first
    ~node();

    /// @brief where it listens
    /// @note thread safety: any thread
    [[nodiscard]] node_ports ports() const;

    /// @brief leaves: no new work, and what runs is finished
    /// @return whether all was finished before the shutdown deadline
    /// @note thread safety: one thread
    [[nodiscard]] bool drain();

private:
    explicit node(std::unique_ptr<node_parts> initial);

    std::unique_ptr<node_parts> parts;
};

} // namespace endivehinge::detail

#endif
