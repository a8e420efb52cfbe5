#ifndef ENDIVEHINGE_POLICY_CRASH_QUARANTINE_HPP
#define ENDIVEHINGE_POLICY_CRASH_QUARANTINE_HPP

#include <cstddef>  // size_t
#include <optional> // optional
#include <vector>   // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/policy/crash_report.hpp>

namespace endivehinge
{

/// @brief limits of a crash_quarantine
struct quarantine_options
{
    std::size_t max_entries = 4096;
    // how long a request remains suspect after a crash
    duration suspicion_duration = std::chrono::seconds(60);
    // how long a request that crashes targets is refused
    duration quarantine_duration = std::chrono::minutes(10);
};

/// @brief how a request must be handled
enum class quarantine_verdict
{
    clear,    // no restriction
    suspect,  // run with no other request on its target
    crashing, // refuse
};

/// @brief a verdict and, if crashing, the time until it expires
struct quarantine_status
{
    quarantine_verdict verdict = quarantine_verdict::clear;
    duration remaining{0};
};

/// @brief identifies requests that crash targets
///
/// Every request in flight when a target crashes becomes suspect and runs
/// isolated from then on. A request that was in flight at two or more crashes
/// and ran isolated at the last is crashing. A suspect that completes is clear
/// again. While a request is frequent, its crashes are counted and nothing
/// follows from them. Entries expire; when the table is full, the entry with
/// the earliest expiry is evicted.
/// @note thread safety: none; hold a lock
class crash_quarantine
{
public:
    explicit crash_quarantine(quarantine_options initial_options = {});

    /// @brief the current verdict on a request
    [[nodiscard]] quarantine_status
    check(request_fingerprint request,
          time_point now,
          request_frequency frequency = request_frequency::unknown);

    /// @brief records that a target crashed with the request in flight
    /// @param isolated whether the request was the only one on the target
    /// @return the report to send to the other nodes of the service
    [[nodiscard]] crash_report
    crashed(request_fingerprint request,
            crash_id const & crash,
            bool isolated,
            time_point now,
            request_frequency frequency = request_frequency::unknown);

    /// @brief restores a quarantine that an earlier process or another node has
    /// stored
    void
    restore(request_fingerprint request, duration remaining, time_point now);

    /// @brief records that the request completed, which clears a suspect
    void finished(request_fingerprint request);

    /// @brief merges a report from another node
    void merge(crash_report const & report, time_point now);

    /// @brief the number of entries, including expired ones not yet removed
    [[nodiscard]] std::size_t size() const;

private:
    struct entry
    {
        // at most two; a second crash is enough evidence
        std::vector<crash_id> crashes;
        bool crashing = false;
        time_point expires;
    };

    static void add_crash(entry & stored, crash_report const & report);
    void evict_if_full();

    quarantine_options options;
    absl::flat_hash_map<request_fingerprint, entry> entries;
};

} // namespace endivehinge

#endif
