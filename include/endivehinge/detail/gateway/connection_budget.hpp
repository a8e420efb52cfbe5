#ifndef ENDIVEHINGE_DETAIL_GATEWAY_CONNECTION_BUDGET_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_CONNECTION_BUDGET_HPP

#include <array>    // array
#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <optional> // optional

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/detail/gateway/connection_use.hpp>
#include <endivehinge/detail/gateway/listener_kind.hpp>

namespace endivehinge::detail
{

/// @brief limits on all server connections of a process
struct connection_budget_limits
{
    std::size_t connections = 0;
    // see connection_use
    std::size_t ordinary_bytes = 0;
    std::size_t large_bytes = 0;
};

/// @brief bounds what the server connections of a process hold together, and
/// selects those that give way
///
/// Load pattern: many clients that each stay inside the limits of one
/// connection, with large bodies, unfinished requests, responses that they do
/// not read, or no request at all. Large bodies have a part of the memory of
/// their own, so that requests of ordinary size still arrive beside them.
/// A request in progress never gives way, since it may be running.
/// @note pure; not thread-safe, the owner serialises all calls
class connection_budget
{
public:
    explicit connection_budget(connection_budget_limits const & chosen);

    /// @brief adds a connection that was accepted now
    [[nodiscard]] connection_id add(listener_kind listener, time_point now);

    /// @brief replaces what a connection holds
    /// @pre the connection was added and not removed
    void update(connection_id connection, connection_use const & use);

    /// @brief removes a connection, unless it was removed before
    void remove(connection_id connection);

    /// @pre the connection was added and not removed
    [[nodiscard]] listener_kind listener_of(connection_id connection) const;

    [[nodiscard]] std::size_t count() const;

    /// @brief memory of all connections, in bytes, without large bodies
    [[nodiscard]] std::size_t ordinary_total() const;

    /// @brief memory of large bodies, in bytes
    [[nodiscard]] std::size_t large_total() const;

    /// @brief whether there are more connections than the limit
    [[nodiscard]] bool has_too_many() const;

    /// @brief whether this many further bytes are within the limit
    [[nodiscard]] bool has_room(std::size_t bytes) const;

    /// @brief whether this many further bytes of large bodies are within the
    /// limit
    [[nodiscard]] bool has_large_room(std::size_t bytes) const;

    /// @brief whether large bodies take less than half of their memory, so that
    /// many may be received at a time
    [[nodiscard]] bool has_half_large_room() const;

    /// @brief whether three quarters of the memory are in use; a connection
    /// then has one request in progress at a time
    [[nodiscard]] bool is_short() const;

    /// @brief whether a connection may receive this many further bytes of a
    /// large body. Beyond half of the memory only one connection may at a time:
    /// many that grow together would fill it with bodies of which none can be
    /// completed.
    [[nodiscard]] bool may_receive_large(connection_id connection,
                                         std::size_t bytes,
                                         time_point now) const;

    /// @brief the connection that receives a large body beyond half of the
    /// memory: the one whose request began first, unless its client stalls
    [[nodiscard]] std::optional<connection_id>
    first_large(time_point now) const;

    /// @brief the connection to close for a further one: one that makes no
    /// progress, of a listener that has more than its share
    [[nodiscard]] std::optional<connection_id>
    closable(time_point now, connection_id excluded) const;

    /// @brief the connection to give up when memory is short: one that makes no
    /// progress, or holds most, of a listener that has more than its share
    [[nodiscard]] std::optional<connection_id>
    ordinary_holder(time_point now, connection_id excluded) const;

    /// @brief the connection to give up when the memory of large bodies is
    /// short: one that makes no progress, or holds most
    [[nodiscard]] std::optional<connection_id>
    large_holder(time_point now, connection_id excluded) const;

    /// @brief a connection with a large body whose client stalls
    [[nodiscard]] std::optional<connection_id>
    stalled_large_holder(time_point now) const;

private:
    struct entry
    {
        listener_kind listener = listener_kind::clients;
        connection_use use;
    };

    /// @brief how far a connection goes before others in giving way
    enum class precedence
    {
        none, // never
        in_progress,
        idle,
        unused,
        stalled,
    };

    struct totals
    {
        std::size_t connections = 0;
        std::size_t bytes = 0;
    };

    [[nodiscard]] static bool is_stalled(connection_use const & use,
                                         time_point now);
    [[nodiscard]] static precedence precedence_of(connection_use const & use,
                                                  time_point now);
    [[nodiscard]] totals & of(listener_kind listener);
    [[nodiscard]] totals const & of(listener_kind listener) const;

    /// @brief the connection with the highest precedence; among those in
    /// progress the one that holds most, else the one without progress for
    /// longest
    /// @param bytes the memory of a connection
    /// @param is_candidate whether a connection is considered
    template <class Bytes, class Predicate>
    [[nodiscard]] std::optional<connection_id>
    select(time_point now, Bytes bytes, Predicate is_candidate) const;

    connection_budget_limits limits;
    std::uint64_t last_id = 0;
    std::size_t ordinary_sum = 0;
    std::size_t large_sum = 0;
    std::array<totals, listener_kind_count> listeners;
    absl::flat_hash_map<connection_id, entry> entries;
};

} // namespace endivehinge::detail

#endif
