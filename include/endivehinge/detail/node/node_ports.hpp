#ifndef ENDIVEHINGE_DETAIL_NODE_NODE_PORTS_HPP
#define ENDIVEHINGE_DETAIL_NODE_NODE_PORTS_HPP

#include <cstdint> // uint16_t

namespace endivehinge::detail
{

/// @brief the ports that a running node listens on
struct node_ports
{
    std::uint16_t ingress = 0;
    std::uint16_t peers = 0;
    std::uint16_t control = 0;
    std::uint16_t admin = 0;
};

} // namespace endivehinge::detail

#endif
