#ifndef ENDIVEHINGE_TESTS_GATEWAY_TARGET_STAND_IN_HPP
#define ENDIVEHINGE_TESTS_GATEWAY_TARGET_STAND_IN_HPP

#include <functional> // function
#include <memory>     // shared_ptr
#include <string>     // string
#include <vector>     // vector

#include <boost/asio/io_context.hpp> // io_context

#include <endivehinge/detail/gateway/http_listener.hpp>

namespace endivehinge::tests
{

/// @brief a target on a port of this machine, with the habits that a test sets
class target_stand_in final : public detail::request_handler
{
public:
    target_stand_in(boost::asio::io_context & loop, std::string id);

    void handle(std::shared_ptr<detail::exchange> incoming) override;

    [[nodiscard]] endpoint address() const;

    /// @brief stops accepting; connections that are open stay
    void close();

    /// @brief responds to a request that was held
    void respond(detail::exchange & client, unsigned status);

    /// @brief how often a request of this id ran here
    [[nodiscard]] std::size_t runs_of(std::string const & request) const;

    // what to do with a request; nothing: responds 200
    std::function<void(std::shared_ptr<detail::exchange> const &)> habit;
    // the run that it says it is
    std::string id;
    // the slowdown that it states, percent
    int slowdown = 100;
    // the requests that ran, by their ids
    std::vector<std::string> ran;
    // the last request that ran
    detail::request_message last;
    // requests whose client left while they ran
    std::size_t cancelled = 0;
    // health probes so far
    std::size_t probes = 0;

private:
    void add_fields(detail::response_message & message) const;

    detail::http_listener listener;
};

} // namespace endivehinge::tests

#endif
