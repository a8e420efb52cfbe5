#ifndef ENDIVEHINGE_TOOLS_COMMON_INGRESS_LIST_HPP
#define ENDIVEHINGE_TOOLS_COMMON_INGRESS_LIST_HPP

#include <cstddef>  // size_t
#include <optional> // optional
#include <vector>   // vector

#include <absl/synchronization/mutex.h> // Mutex

#include <endivehinge/core/endpoint.hpp>

namespace endivehinge::tools
{

/// @brief the nodes that callers may ask now
/// @note thread safety: any thread
class ingress_list
{
public:
    /// @brief callers may ask it from now on
    void add(endpoint const & node);

    /// @brief no caller asks it from now on
    void remove(endpoint const & node);

    /// @brief says that a node is frozen by the fault at hand, so that no
    ///        answer from it is no fault of its own
    void excuse(endpoint const & node);

    /// @brief whether a node was excused
    [[nodiscard]] bool is_excused(endpoint const & node) const;

    /// @brief one of them, another than the last where there is one
    /// @param draw any number
    [[nodiscard]] std::optional<endpoint>
    choose(std::size_t draw, std::optional<endpoint> const & last) const;

private:
    mutable absl::Mutex mutex;
    std::vector<endpoint> nodes;
    std::vector<endpoint> excused;
};

} // namespace endivehinge::tools

#endif
