#ifndef ENDIVEHINGE_POLICY_CRASH_EVIDENCE_HPP
#define ENDIVEHINGE_POLICY_CRASH_EVIDENCE_HPP

#include <cstddef> // size_t
#include <vector>  // vector

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief a request whose connection to the target was lost
struct lost_request
{
    request_fingerprint fingerprint;
    // no other suspect request was running on the target
    bool isolated = false;
    time_point started_at;
    time_point lost_at;
};

/// @brief requests whose connections were lost, until it is known whether the
/// target crashed
///
/// A lost connection alone is no crash: targets and networks reset single
/// connections. A crash is confirmed if the target then accepts no connection
/// or is another incarnation.
/// @note pure; not thread-safe, the owner serialises all calls
class crash_evidence
{
public:
    /// @brief records that the connection of a running request was lost;
    /// ignores one that started after the first of these losses, which the
    /// target may not have received any more
    void add(lost_request const & request);

    /// @brief removes and returns the requests that were lost recently enough
    /// to have been in flight at a crash that is confirmed now
    [[nodiscard]] std::vector<lost_request> take(time_point now);

    /// @brief discards the requests, since the target still runs
    void clear();

private:
    std::vector<lost_request> requests;
};

} // namespace endivehinge

#endif
