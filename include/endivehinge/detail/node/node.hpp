#ifndef ENDIVEHINGE_DETAIL_NODE_NODE_HPP
#define ENDIVEHINGE_DETAIL_NODE_NODE_HPP

#include <cstdint> // uint16_t
#include <memory>  // unique_ptr

#include <endivehinge/core/failure.hpp>
#include <endivehinge/detail/settings/node_settings.hpp>

namespace endivehinge::detail
{

/// @brief the ports that a node listens on, once it does
struct node_ports
{
    std::uint16_t ingress = 0;
    std::uint16_t peers = 0;
    std::uint16_t control = 0;
    std::uint16_t admin = 0;
};

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
    class parts;

    explicit node(std::unique_ptr<parts> initial);

    std::unique_ptr<parts> all;
};

} // namespace endivehinge::detail

#endif
