#ifndef ENDIVEHINGE_POLICY_COMPLETED_REQUEST_SET_HPP
#define ENDIVEHINGE_POLICY_COMPLETED_REQUEST_SET_HPP

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief remembers which requests have completed a moment ago
///
/// Such a request may have been in flight at a crash by coincidence. A longer
/// memory would excuse a request that has begun to crash its targets. Bounded
/// in size and age.
/// @note pure; not thread-safe, the owner serialises all calls
class completed_request_set
{
public:
    /// @brief records that a request completed
    void add(request_fingerprint request, time_point now);

    /// @brief whether the request completed within the last 3 s; false as well
    /// if many others did since
    [[nodiscard]] bool contains(request_fingerprint request,
                                time_point now) const;

private:
    using completion_times =
        absl::flat_hash_map<request_fingerprint, time_point>;

    // two generations: the older one is discarded when the newer one is full
    // or old
    completion_times newer;
    completion_times older;
    time_point newer_since;
};

} // namespace endivehinge

#endif
