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

/// @brief sort key of an admission_queue
enum class queue_order
{
    urgency, // priority, then deadline, then ID
    arrival, // ID
};

/// @brief tickets waiting for capacity at a target
/// @note thread safety: none; the owner serialises calls
class admission_queue
{
public:
    using ordered_tickets = std::set<ticket_info,
                                     bool (*)(ticket_info const & before,
                                              ticket_info const & after)>;

    explicit admission_queue(queue_order initial_order);

    /// @brief adds a ticket whose ID is not in the queue
    void insert(ticket_info const & ticket);

    /// @brief removes a ticket; unknown IDs are ignored
    void erase(ticket_id id);

    /// @brief whether a ticket would be first if inserted
    [[nodiscard]] bool would_be_first(ticket_info const & ticket) const;

    /// @brief the number of tickets ahead of a ticket
    /// @note linear in the tickets of its priority with a later deadline, so
    /// constant for the latest deadline of its priority
    [[nodiscard]] std::size_t count_ahead(ticket_info const & ticket) const;

    /// @brief the tickets whose deadline has passed
    [[nodiscard]] std::vector<ticket_info> expired(time_point now);

    /// @brief all tickets in order
    [[nodiscard]] ordered_tickets const & tickets() const;

private:
    queue_order order;
    ordered_tickets ordered;
    absl::flat_hash_map<ticket_id, ticket_info> by_id;
    std::map<priority, std::size_t> count_by_urgency;
    // lower bound of all deadlines in the queue
    time_point earliest_deadline = time_point::max();
};

} // namespace endivehinge

#endif
