#ifndef ENDIVEHINGE_TESTS_GATEWAY_GATEWAY_FLEET_HPP
#define ENDIVEHINGE_TESTS_GATEWAY_GATEWAY_FLEET_HPP

#include <functional> // function
#include <memory>     // unique_ptr
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

#include <boost/asio/io_context.hpp> // io_context

#include <endivehinge/detail/gateway/gateway_parts.hpp>

#include "fault_relay.hpp"
#include "store_stand_in.hpp"
#include "target_stand_in.hpp"

namespace endivehinge::tests
{

/// @brief a node, the target beside it and the stand-in for that
struct fleet_member
{
    std::unique_ptr<target_stand_in> target;
    // in front of the target, where the fleet relays
    std::unique_ptr<fault_relay> target_link;
    std::unique_ptr<detail::gateway_parts> node;
};

/// @brief nodes, targets and the store in one process on one event loop
class gateway_fleet
{
public:
    gateway_fleet();

    /// @brief adds a node beside a new target, and starts it
    /// @param domain each in its own unless given
    fleet_member & add(std::string const & service,
                       std::string const & domain = "d1");

    /// @brief writes a configuration with a safe route /safe/ and an unsafe
    /// route /unsafe/ to a service
    void configure(int version, std::string const & service);

    /// @brief the target reports itself to its node
    /// @return the status of the response
    unsigned
    report(fleet_member & member, std::string const & state, int sequence);

    /// @brief adds members, configures, and waits until all know each other
    void settle(std::size_t members, std::string const & service);

    /// @brief a request of a client to a node
    struct client_call
    {
        std::shared_ptr<detail::client_connection> connection;
        std::optional<detail::call_result> result;
    };

    /// @brief sends a request; does not wait
    std::shared_ptr<client_call> send(fleet_member & member,
                                      std::string const & path,
                                      std::string const & id,
                                      int time_left_ms = 3000);

    /// @brief sends a request and waits for the response
    detail::call_result ask(fleet_member & member,
                            std::string const & path,
                            std::string const & id,
                            int time_left_ms = 3000);

    /// @brief runs the loop until a condition holds
    /// @return whether it came to hold within a generous bound
    bool run_until(std::function<bool()> const & condition);

    /// @brief runs the loop for a span
    void run_for(duration span);

    [[nodiscard]] std::size_t runs_of(std::string const & request) const;

    boost::asio::io_context io{1};
    store_stand_in store;
    std::vector<std::unique_ptr<fleet_member>> members;
    int route_attempts = 2;
    // nodes reach their targets through relays
    bool relays_targets = false;

private:
    /// @brief a port that stays bound, so that no connection gets it before a
    /// listener does
    endpoint reserve_address();

    std::vector<boost::asio::ip::tcp::socket> reserved;
    std::vector<std::unique_ptr<detail::upstream>> clients;
};

} // namespace endivehinge::tests

#endif
