#ifndef ENDIVEHINGE_DETAIL_GATEWAY_HEALTH_PROBER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_HEALTH_PROBER_HPP

#include <functional> // function
#include <string>     // string

#include <boost/asio/io_context.hpp>   // io_context
#include <boost/asio/steady_timer.hpp> // steady_timer

#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/detail/gateway/upstream.hpp>

namespace endivehinge::detail
{

/// @brief asks a target for its health, in turn and on demand
/// @note thread safety: none; used on the event loop only
class health_prober
{
public:
    using response_handler = std::function<void(call_result const &)>;

    health_prober(boost::asio::io_context & loop,
                  upstream & connections,
                  endpoint const & target);

    /// @brief the path to ask; empty: nothing is asked
    void set_path(std::string const & health_path);

    /// @brief begins to ask in turn
    /// @param responded is called with each result
    /// @pre called once
    void start(response_handler responded);

    /// @brief asks at once
    /// @param done called once; a target that is silent for 30 ms has failed
    /// @return false where nothing could be asked; then done is not called
    [[nodiscard]] bool ask_now(response_handler done);

    /// @brief a response stated the same, so the next turn may be left out
    void note_response(time_point now);

private:
    void schedule();
    void probe();
    [[nodiscard]] bool send(duration timeout, response_handler done);

    upstream & server;
    endpoint address;
    std::string path;
    response_handler handler;
    boost::asio::steady_timer timer;
    time_point last_response;
};

} // namespace endivehinge::detail

#endif
