#ifndef ENDIVEHINGE_DETAIL_COMMANDS_ROLLOUT_CHECK_HPP
#define ENDIVEHINGE_DETAIL_COMMANDS_ROLLOUT_CHECK_HPP

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <endivehinge/coordination/member.hpp>
#include <endivehinge/detail/control/control_client.hpp>

namespace endivehinge::detail
{

/// @brief nodes by whether a configuration version is active on them
struct rollout_report
{
    std::vector<std::string> active;
    // nodes that reported an older version
    std::vector<std::string> outdated;
    // nodes that did not respond
    std::vector<std::string> unreachable;
};

/// @brief queries nodes for their active configuration version
/// @note thread safety: one thread; blocks on I/O
class rollout_check
{
public:
    /// @param nodes admin ports of nodes; the members that these nodes report
    ///        are queried too
    explicit rollout_check(std::vector<endpoint> nodes);

    /// @brief queries every node once
    [[nodiscard]] rollout_report query(object_version version);

    /// @brief queries until all nodes that respond have the version or the
    ///        timeout expires; prints the result
    /// @return whether the version was active in time
    [[nodiscard]] bool wait(object_version version, duration timeout);

private:
    void query_member(member const & target,
                      object_version version,
                      rollout_report & report);

    std::vector<endpoint> nodes;
    control_client client;
};

} // namespace endivehinge::detail

#endif
