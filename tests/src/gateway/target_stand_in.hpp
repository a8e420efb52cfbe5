#ifndef ENDIVEHINGE_TESTS_GATEWAY_TARGET_STAND_IN_HPP
#define ENDIVEHINGE_TESTS_GATEWAY_TARGET_STAND_IN_HPP

#include <cstdint>    // uint16_t
#include <functional> // function
#include <map>        // map
#include <memory>     // shared_ptr
#include <string>     // string
#include <vector>     // vector

#include <boost/asio/io_context.hpp> // io_context

#include <endivehinge/detail/gateway/http_listener.hpp>

namespace endivehinge::tests
{

/// @brief a target on a local port, with behaviour that a test can set
class target_stand_in final : public detail::request_handler
{
public:
    target_stand_in(boost::asio::io_context & loop, std::string id);

    void handle(std::shared_ptr<detail::exchange> incoming) override;

    [[nodiscard]] endpoint address() const;

    /// @brief stops accepting connections; open ones stay open
    void close();

    /// @brief ends as a crashed process does: closes the port and all
    /// connections
    void crash();

    /// @brief starts again on the same port
    /// @pre crash() was called
    void restart(std::string new_id);

    /// @brief responds to a request that request_hook kept
    void respond(detail::exchange & client, unsigned status);

    /// @brief how often this target executed the request with an ID
    [[nodiscard]] std::size_t
    execution_count(std::string const & request) const;

    // handles each executed request; if empty, the response is 200
    std::function<void(std::shared_ptr<detail::exchange> const &)> request_hook;
    // the incarnation that it reports and expects in requests
    std::string id;
    // the slowdown that it reports, in percent
    int slowdown = 100;
    // further fields of all responses
    std::map<std::string, std::string> extra_fields;
    // further fields of the responses to health probes
    std::map<std::string, std::string> health_fields;
    bool answers_probes = true;
    // ends the body of all its responses to requests
    std::string extra_body;
    // IDs of the executed requests, in order
    std::vector<std::string> executed_ids;
    // the last executed request
    detail::request_message last_request;
    // requests whose client disconnected before the response
    std::size_t cancelled_count = 0;
    // health probes received
    std::size_t probe_count = 0;

private:
    void add_fields(detail::response_message & message) const;

    boost::asio::io_context & io;
    // replaced by restart()
    std::unique_ptr<detail::http_listener> listener;
    std::uint16_t port = 0;
};

} // namespace endivehinge::tests

#endif
