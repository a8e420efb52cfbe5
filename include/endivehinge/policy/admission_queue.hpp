#ifndef ENDIVEHINGE_POLICY_ADMISSION_QUEUE_HPP
#define ENDIVEHINGE_POLICY_ADMISSION_QUEUE_HPP

#include <cstddef>  // size_t
#include <map>      // map
#include <optional> // optional
#include <set>      // set
#include <vector>   // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/ticket.hpp>

namespace endivehinge
{

/// @brief what the tickets of a queue are ordered by
enum class queue_order
{
    urgency, // priority, then deadline
    arrival, // id
};

/// @brief the tickets that wait for a place
/// @note thread safety: none; the owner serialises
class admission_queue
{
public:
    using ordered_tickets = std::set<ticket_info,
                                     bool (*)(ticket_info const & before,
                                              ticket_info const & after)>;

    explicit admission_queue(queue_order chosen);

    /// @brief adds a ticket; its id is not in the queue
    void insert(ticket_info const & ticket);

    /// @brief removes a ticket; unknown ones are ignored
    void erase(ticket_id id);

    /// @brief whether a ticket would be the first
    [[nodiscard]] bool goes_first(ticket_info const & ticket) const;

    /// @brief how many go before a ticket; constant for the latest deadline of
    /// its priority, linear in those of its priority with a later one
    [[nodiscard]] std::size_t count_ahead(ticket_info const & ticket) const;

    /// @brief those whose deadline is not after now
    [[nodiscard]] std::vector<ticket_info> expired(time_point now);

    /// @brief all, first first
    [[nodiscard]] ordered_tickets const & tickets() const;

private:
    queue_order order;
    ordered_tickets ordered;
    absl::flat_hash_map<ticket_id, ticket_info> by_id;
    std::map<priority, std::size_t> count_of;
    // no deadline in the queue is before it
    time_point earliest_deadline = time_point::max();
};

} // namespace endivehinge

#endif
