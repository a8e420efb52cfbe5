#ifndef ENDIVEHINGE_DETAIL_GATEWAY_CONNECTION_REGISTRY_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_CONNECTION_REGISTRY_HPP

#include <cstddef>    // size_t
#include <functional> // function
#include <memory>     // weak_ptr
#include <optional>   // optional
#include <vector>     // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <boost/asio/io_context.hpp>      // io_context

#include <endivehinge/detail/gateway/budgeted_connection.hpp>
#include <endivehinge/detail/gateway/connection_budget.hpp>

namespace endivehinge::detail
{

/// @brief the server connections of a process, which share one
/// connection_budget
/// @note thread safety: none; used on the event loop only
class connection_registry
{
public:
    /// @brief called when a connection gives way to a limit
    using limit_observer = std::function<void(client_limit, listener_kind)>;

    connection_registry(boost::asio::io_context & loop,
                        connection_budget_limits const & limits,
                        limit_observer on_limit);

    /// @brief adds a connection that was accepted; another one may be closed
    /// for it
    /// @return no value if all connections are in use and the new one must be
    /// closed
    [[nodiscard]] std::optional<connection_id>
    add(listener_kind listener, std::weak_ptr<budgeted_connection> connection);

    /// @brief replaces what a connection holds; others may give way later, not
    /// during the call
    void update(connection_id connection, connection_use const & use);

    /// @brief removes a connection that was closed
    void remove(connection_id connection);

    /// @brief asks for memory before bytes are read; others may give way during
    /// the call
    /// @param is_large whether the bytes belong to a body that is not small
    /// @return false if reading must stop until resume_reading() is called
    [[nodiscard]] bool
    acquire(connection_id connection, std::size_t bytes, bool is_large);

    /// @brief whether a connection should have only one request in progress
    [[nodiscard]] bool is_short() const;

    /// @brief gives up large bodies whose clients stall if others wait for
    /// their memory
    /// @pre called repeatedly, every second or more often
    void review();

    /// @brief records that a connection met a limit of its own
    void record_limit(client_limit limit, listener_kind listener) const;

    [[nodiscard]] connection_budget const & budget() const;

private:
    [[nodiscard]] bool acquire_ordinary(connection_id connection,
                                        std::size_t bytes);
    [[nodiscard]] bool acquire_large(connection_id connection,
                                     std::size_t bytes);
    void give_up(connection_id connection, client_limit limit);
    /// @brief lets others give way until the memory is within its limits
    void enforce();
    void schedule_review();
    void resume_ordinary();
    void resume_large();
    void resume(connection_id connection);

    boost::asio::io_context & io;
    connection_budget connections;
    limit_observer observer;
    absl::flat_hash_map<connection_id, std::weak_ptr<budgeted_connection>>
        owners;
    // connections whose reading waits for memory, in the order of their wait
    std::vector<connection_id> ordinary_waits;
    std::vector<connection_id> large_waits;
    bool review_scheduled = false;
};

} // namespace endivehinge::detail

#endif
