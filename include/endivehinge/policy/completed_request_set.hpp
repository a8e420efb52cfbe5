#ifndef ENDIVEHINGE_POLICY_COMPLETED_REQUEST_SET_HPP
#define ENDIVEHINGE_POLICY_COMPLETED_REQUEST_SET_HPP

#include <absl/container/flat_hash_set.h> // flat_hash_set

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief remembers which requests have completed lately
///
/// A crashing request never completes, so a request that did may have been in
/// flight at a crash by coincidence. Bounded in size and age.
/// @note pure; not thread-safe, the owner serialises all calls
class completed_request_set
{
public:
    /// @brief records that a request completed
    void add(request_fingerprint request, time_point now);

    /// @brief whether the request completed within at least the last 30 s,
    /// unless many others did since
    [[nodiscard]] bool contains(request_fingerprint request) const;

private:
    // two generations: the older one is discarded when the newer one is full
    // or old
    absl::flat_hash_set<request_fingerprint> newer;
    absl::flat_hash_set<request_fingerprint> older;
    time_point newer_since;
};

} // namespace endivehinge

#endif
