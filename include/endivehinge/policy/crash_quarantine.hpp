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

/// @brief bounds of a crash_quarantine
struct quarantine_options
{
    std::size_t entries = 4096;
    // a request that was in flight once is a suspect for so long
    duration suspicion = std::chrono::seconds(60);
    // a request that crashes targets is refused for so long
    duration mark = std::chrono::minutes(10);
};

/// @brief how a request is to be run
enum class quarantine_verdict
{
    clear,
    suspect,  // alone on its target
    crashing, // not at all
};

/// @brief a verdict and, where crashing, how long it holds
struct quarantine_status
{
    quarantine_verdict verdict = quarantine_verdict::clear;
    duration remaining{0};
};

/// @brief tells the requests that crash targets from those that were near
///
/// Every request in flight when a target dies is a suspect, and runs alone
/// from then on. One that has been in flight at two deaths, the last of them
/// alone, is crashing. One that finishes is clear again. All of it expires.
/// At the bound the entry that expires first is dropped.
/// @note pure; thread safety: none, hold a lock
class crash_quarantine
{
public:
    explicit crash_quarantine(quarantine_options chosen = {});

    /// @brief how a request is to be run now
    [[nodiscard]] quarantine_status check(request_fingerprint request,
                                          time_point now);

    /// @brief a target died with the request in flight
    /// @return what to tell the other nodes of the service
    [[nodiscard]] crash_report crashed(request_fingerprint request,
                                       crash_id const & crash,
                                       bool isolated,
                                       time_point now);

    /// @brief the request ran to its end: a suspect is clear again
    void finished(request_fingerprint request);

    /// @brief takes in what another node tells
    void merge(crash_report const & mark, time_point now);

    /// @brief how many requests are suspect or crashing
    [[nodiscard]] std::size_t size() const;

private:
    struct entry
    {
        // bounded: two deaths are enough
        std::vector<crash_id> crashes;
        bool crashing = false;
        time_point expires;
    };

    void record(entry & known, crash_report const & mark) const;
    void make_room();

    quarantine_options options;
    absl::flat_hash_map<request_fingerprint, entry> entries;
};

} // namespace endivehinge

#endif
