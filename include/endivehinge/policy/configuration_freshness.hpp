#ifndef ENDIVEHINGE_POLICY_CONFIGURATION_FRESHNESS_HPP
#define ENDIVEHINGE_POLICY_CONFIGURATION_FRESHNESS_HPP

#include <optional> // optional

#include <endivehinge/core/boot_clock.hpp>
#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief how old a node's knowledge is that its configuration is current
///
/// A response counts from the earliest time at which the store can have
/// composed it, not from its receipt: after a pause of the process, responses
/// that waited in the connection are seconds old.
/// @note thread safety: none
class configuration_freshness
{
public:
    /// @brief the store returned its current configuration, or changes to it
    /// @param sent when the request was sent
    void record_read(boot_time sent);

    /// @brief the store held a watch and ended it without a change
    /// @param hold how long the store was asked to hold it
    void record_unchanged(boot_time sent, duration hold, boot_time received);

    /// @brief another node returned what it has beyond this node
    /// @param age of that node's knowledge
    void record_peer(boot_time sent, duration age);

    /// @brief time since the active configuration was known to be current
    /// @return no value if it never was
    [[nodiscard]] std::optional<duration> age(boot_time now) const;

private:
    void record(boot_time known_at);

    std::optional<boot_time> newest;
};

} // namespace endivehinge

#endif
