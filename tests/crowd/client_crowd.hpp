#ifndef ENDIVEHINGE_TESTS_CROWD_CLIENT_CROWD_HPP
#define ENDIVEHINGE_TESTS_CROWD_CLIENT_CROWD_HPP

#include <chrono>     // milliseconds, steady_clock
#include <cstdint>    // uint16_t
#include <functional> // function
#include <string>     // string
#include <vector>     // vector

namespace endivehinge::tests
{

/// @brief what each client of a crowd sends
struct client_script
{
    std::string opening;
    // sent this often after the opening, with a pause before each
    std::string part;
    std::size_t parts = 0;
    std::chrono::milliseconds pause{0};
    std::string closing;
    bool reads = true;
    // bytes of the part that the last repetition leaves out
    std::size_t missing_bytes = 0;
};

/// @brief many clients of one port, driven by the calling thread
///
/// A client that has sent its script stays open until the node closes its
/// connection or the crowd is destroyed.
/// @note thread safety: none
class client_crowd
{
public:
    client_crowd() = default;
    client_crowd(client_crowd const &) = delete;
    client_crowd & operator=(client_crowd const &) = delete;
    ~client_crowd();

    /// @brief adds clients, which connect when the crowd runs
    void add(std::size_t count,
             std::string const & host,
             std::uint16_t port,
             client_script const & script);

    /// @brief drives the clients for a time, or until each has sent its script
    /// or was closed
    /// @param observe called every few milliseconds
    void run(std::chrono::milliseconds limit,
             std::function<void()> const & observe);

    /// @brief sends and receives what is possible within a time
    void step(std::chrono::milliseconds wait);

    /// @brief drives the clients for a time
    /// @param observe called every few milliseconds
    void stay(std::chrono::milliseconds time,
              std::function<void()> const & observe);

    /// @brief drives the clients until the node has closed all connections
    /// @return whether it did within the time
    [[nodiscard]] bool run_until_closed(std::chrono::milliseconds limit);

private:
    struct client
    {
        int socket = -1;
        std::size_t script = 0;
        std::string host;
        std::uint16_t port = 0;
        // -1: the opening
        std::ptrdiff_t part = -1;
        std::size_t sent = 0;
        std::chrono::steady_clock::time_point next;
        bool complete = false;
        bool closed = false;
    };

    /// @brief connects clients that are not connected yet, a few at a time
    void connect_some();
    void send(client & one);
    void receive(client & one);
    [[nodiscard]] std::string const & current_text(client const & one) const;
    [[nodiscard]] std::size_t current_size(client const & one) const;

    std::vector<client_script> scripts;
    std::vector<client> clients;
    std::size_t connected = 0;
};

} // namespace endivehinge::tests

#endif
