#ifndef ENDIVEHINGE_DETAIL_COMMANDS_ROLLOUT_CHECK_HPP
#define ENDIVEHINGE_DETAIL_COMMANDS_ROLLOUT_CHECK_HPP

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <endivehinge/coordination/member.hpp>
#include <endivehinge/detail/control/control_client.hpp>

namespace endivehinge::detail
{

/// @brief where a version is in force and where not
struct rollout_report
{
    std::vector<std::string> in_force;
    // nodes that answered with an older version
    std::vector<std::string> behind;
    // nodes that did not answer
    std::vector<std::string> silent;
};

/// @brief asks nodes which version they have
/// @note thread safety: one thread; blocks on I/O
class rollout_check
{
public:
    /// @param nodes admin ports; their members are asked too
    explicit rollout_check(std::vector<endpoint> nodes);

    /// @brief asks every node once
    [[nodiscard]] rollout_report ask(object_version version);

    /// @brief asks until every node that answers has the version
    /// @return whether that came about in time
    [[nodiscard]] bool wait(object_version version, duration patience);

private:
    void ask_member(member const & one,
                    object_version version,
                    rollout_report & report);

    std::vector<endpoint> nodes;
    control_client client;
};

} // namespace endivehinge::detail

#endif
