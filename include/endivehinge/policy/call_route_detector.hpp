#ifndef ENDIVEHINGE_POLICY_CALL_ROUTE_DETECTOR_HPP
#define ENDIVEHINGE_POLICY_CALL_ROUTE_DETECTOR_HPP

#include <string> // string
#include <vector> // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief tells on which routes the target beside this node makes calls of its
/// own while it runs a request
///
/// Such calls look like requests of clients. A target fails the request whose
/// call was refused at once, so that a route is one of calls if most refusals
/// on it are followed by a failed run within a few milliseconds.
/// @note pure; not thread-safe, the owner serialises all calls
class call_route_detector
{
public:
    /// @brief records that a request which entered at this node was not
    /// answered with success
    void record_refusal(std::string const & route, time_point now);

    /// @brief records that the target failed a request
    void record_failed_run(time_point now);

    /// @brief whether requests on a route are calls of the target
    [[nodiscard]] bool is_call(std::string const & route) const;

private:
    struct route_counts
    {
        double refusals = 0;
        double followed = 0;
    };

    struct recent_refusal
    {
        std::string route;
        time_point at;
    };

    absl::flat_hash_map<std::string, route_counts> routes;
    // refusals that a failed run may follow yet
    std::vector<recent_refusal> pending;
};

} // namespace endivehinge

#endif
