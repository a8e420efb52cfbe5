#ifndef ENDIVEHINGE_TOOLS_COMMON_CALLER_GROUP_HPP
#define ENDIVEHINGE_TOOLS_COMMON_CALLER_GROUP_HPP

#include <atomic>  // atomic
#include <cstdint> // uint64_t
#include <string>  // string
#include <thread>  // thread
#include <vector>  // vector

#include <absl/synchronization/mutex.h> // Mutex

#include <common/caller.hpp>

namespace endivehinge::tools
{

/// @brief how a group of callers behaves
struct caller_group_plan
{
    std::vector<call_kind> kinds;
    std::size_t callers = 8;
    // mean of the pause between two calls of one caller
    duration mean_pause = std::chrono::milliseconds(10);
    std::uint64_t seed = 1;
};

/// @brief callers, a thread each, that make calls until they are stopped
class caller_group
{
public:
    /// @param nodes outlives the group
    /// @param history outlives the group
    caller_group(caller_group_plan plan,
                 ingress_list const & nodes,
                 history_log & history);
    caller_group(caller_group const &) = delete;
    caller_group & operator=(caller_group const &) = delete;
    ~caller_group();

    /// @brief lets each caller finish its call and ends the threads
    /// @note thread safety: one thread
    void stop();

    /// @brief calls that have ended
    /// @note thread safety: any thread
    [[nodiscard]] std::uint64_t ended() const;

    /// @brief how long each answered call took, in order of time
    /// @note thread safety: after stop
    [[nodiscard]] std::vector<duration> const & answer_times() const;

private:
    void run(std::size_t index);

    caller_group_plan plan;
    ingress_list const & nodes;
    history_log & history;
    machine_clock time;
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> ended_count{0};
    absl::Mutex mutex;
    std::vector<duration> times;
    std::vector<std::thread> threads;
};

/// @brief the time within which a share of calls was answered, in
///        milliseconds; 0 where there are none
/// @param share 0 to 1
/// @note pure
[[nodiscard]] double quantile_ms(std::vector<duration> times, double share);

} // namespace endivehinge::tools

#endif
