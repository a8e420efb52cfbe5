#ifndef ENDIVEHINGE_POLICY_ROLLOUT_VERSION_FILTER_HPP
#define ENDIVEHINGE_POLICY_ROLLOUT_VERSION_FILTER_HPP

#include <map>      // map
#include <optional> // optional
#include <vector>   // vector

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/rollout_entry.hpp>

namespace endivehinge
{

/// @brief versions to which one request may be sent
struct rollout_version_choice
{
    // any of them
    std::vector<software_version> first;
    // any of them, after no target of the first ones accepted the request
    std::vector<software_version> fallback;
};

/// @brief which versions of a service a node may send requests to
///
/// Handles roll-outs, and the time in which targets of a new version are seen
/// before the order for it: a version that differs from that of most ready
/// targets is held back until the order had time to arrive.
/// @note pure; not thread-safe, the owner serialises all calls
class rollout_version_filter
{
public:
    /// @param configuration_delay time in which a change of the store reaches
    /// all nodes
    explicit rollout_version_filter(duration configuration_delay);

    /// @brief sets the versions of the ready targets of the service, one for
    /// each target; a target without a stated version has an empty one
    void set_targets(std::vector<software_version> const & versions,
                     time_point now);

    /// @brief the versions for the next request
    /// @param entry the order and its status; empty if none is known
    /// @param random uniformly distributed, from 0 to less than 1
    [[nodiscard]] rollout_version_choice
    choose(std::optional<rollout_entry> const & entry,
           double random,
           time_point now) const;

    /// @brief whether a request may be sent to a target of this version at all,
    /// by its node or as a fallback
    [[nodiscard]] bool allows(std::optional<rollout_entry> const & entry,
                              software_version const & version,
                              time_point now) const;

private:
    struct known_version
    {
        std::size_t targets = 0;
        time_point first_seen;
        // was once the only version, or that of most targets at the start
        bool established = false;
    };

    [[nodiscard]] bool is_present(software_version const & version) const;
    [[nodiscard]] double share_of(rollout_entry const & entry) const;
    [[nodiscard]] bool is_sole(software_version const & version) const;
    [[nodiscard]] bool is_held(known_version const & version,
                               time_point now) const;
    void establish_majority();
    [[nodiscard]] std::vector<software_version>
    old_versions(std::optional<rollout_entry> const & entry,
                 time_point now) const;

    duration hold_time;
    std::map<software_version, known_version> versions;
};

} // namespace endivehinge

#endif
