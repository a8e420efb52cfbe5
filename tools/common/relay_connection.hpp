#ifndef ENDIVEHINGE_TOOLS_COMMON_RELAY_CONNECTION_HPP
#define ENDIVEHINGE_TOOLS_COMMON_RELAY_CONNECTION_HPP

#include <atomic> // atomic
#include <thread> // thread

#include <common/behaviour_holder.hpp>
#include <common/relay_behaviour.hpp>
#include <endivehinge/core/endpoint.hpp>

namespace endivehinge::tools
{

/// @brief one connection through a relay: a thread for each way
class relay_connection
{
public:
    /// @param accepted the socket of the side that connected; owned
    /// @param holder outlives the connection
    relay_connection(int accepted, behaviour_holder<relay_behaviour> & holder);
    relay_connection(relay_connection const &) = delete;
    relay_connection & operator=(relay_connection const &) = delete;
    ~relay_connection();

    /// @brief closes both sides
    /// @note thread safety: any thread
    void cut();

    /// @brief passes nothing any more, for good
    /// @note thread safety: any thread
    void silence();

    /// @brief whether both ways have ended
    [[nodiscard]] bool has_ended() const;

private:
    void pump(int from, int to);
    bool wait_to_pass() const;

    int near_socket;
    int far_socket;
    behaviour_holder<relay_behaviour> & holder;
    std::atomic<bool> silent{false};
    std::atomic<bool> closing{false};
    std::atomic<int> running_ways{2};
    std::thread forth;
    std::thread back;
};

} // namespace endivehinge::tools

#endif
