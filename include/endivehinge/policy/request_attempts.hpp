#ifndef ENDIVEHINGE_POLICY_REQUEST_ATTEMPTS_HPP
#define ENDIVEHINGE_POLICY_REQUEST_ATTEMPTS_HPP

#include <cstddef> // size_t
#include <cstdint> // uint32_t
#include <vector>  // vector

namespace endivehinge
{

/// @brief the attempts of one request and what may be said of it meanwhile
///
/// Handles nodes that are slow to respond while many are stopped or started: an
/// attempt at a node that does not confirm it may still run. Another attempt
/// may run beside it, and without one the request waits for it, since a
/// failure response would discard the work of the target.
/// @note pure; not thread-safe, the owner serialises all calls
class request_attempts
{
public:
    /// @brief adds a running attempt
    /// @return its index for the other calls
    std::size_t start();

    /// @brief the node of the attempt does not confirm it; it counts as arrived
    /// until its result states otherwise
    /// @pre the attempt is running
    void record_silence(std::size_t index);

    /// @brief the attempt ended without running the request
    /// @param arrived whether the target refused it itself
    /// @pre the attempt is running
    void record_refusal(std::size_t index, bool arrived);

    /// @brief the target responded
    /// @pre the attempt is running
    void record_answer(std::size_t index);

    /// @brief the attempt ended and the request may have run
    /// @pre the attempt is running
    void record_unknown_outcome(std::size_t index, bool arrived);

    /// @brief number of attempts that reached a target or may reach it yet
    [[nodiscard]] std::uint32_t possible_arrivals() const;

    /// @brief number of attempts whose result may still arrive
    [[nodiscard]] std::size_t running_count() const;

    /// @brief whether a result may still arrive
    [[nodiscard]] bool any_running() const;

    /// @brief whether an attempt is running at a node that is not silent; then
    /// no further one is started
    [[nodiscard]] bool any_confirmed() const;

    /// @brief whether a refusal of the request could be untrue
    [[nodiscard]] bool may_have_run() const;

    /// @brief number of attempts that reached a target, as far as known
    [[nodiscard]] std::uint32_t arrivals() const;

private:
    enum class state
    {
        running,
        refused,
        answered,
        unknown,
    };

    struct attempt
    {
        state current = state::running;
        bool arrived = false;
        bool silent = false;
    };

    std::vector<attempt> attempts;
};

} // namespace endivehinge

#endif
