#ifndef ENDIVEHINGE_TESTS_SOAK_SOAK_TARGET_HPP
#define ENDIVEHINGE_TESTS_SOAK_SOAK_TARGET_HPP

#include <fstream> // ofstream
#include <memory>  // shared_ptr
#include <random>  // mt19937_64
#include <string>  // string

#include <boost/asio/io_context.hpp>   // io_context
#include <boost/asio/signal_set.hpp>   // signal_set
#include <boost/asio/steady_timer.hpp> // steady_timer

#include <endivehinge/detail/gateway/http_listener.hpp>
#include <endivehinge/detail/gateway/upstream.hpp>

namespace endivehinge::tests
{

/// @brief where a soak_target serves and reports
struct soak_target_options
{
    std::string id;
    std::string service;
    std::string domain;
    endpoint listener;
    // the address that it reports as its own
    endpoint announced;
    endpoint reports;
    // a line for each event that the soak checks
    std::string events;
    std::uint64_t seed = 1;
};

/// @brief a target as a process of its own
///
/// Writes what happens into a file, one line an event with its time in
/// milliseconds of the monotonic clock: `ran ID` before a request runs,
/// `drained` once its node has confirmed that it drains, `late ID` for a
/// request that comes after that.
/// @note thread safety: none; runs its own event loop
class soak_target final : public detail::request_handler
{
public:
    explicit soak_target(soak_target_options chosen);

    void handle(std::shared_ptr<detail::exchange> incoming) override;

    /// @brief serves until SIGTERM has drained it
    void run();

private:
    void add_fields(detail::response_message & message) const;
    void respond(std::shared_ptr<detail::exchange> const & client,
                 std::string const & id);
    void report(std::string const & state);
    void reported(std::string const & state,
                  detail::call_result const & result);
    void leave_when_idle();
    void note(std::string const & event);

    soak_target_options options;
    boost::asio::io_context io{1};
    std::mt19937_64 random;
    std::ofstream events;
    detail::http_listener listener;
    detail::upstream node;
    boost::asio::steady_timer report_timer;
    boost::asio::steady_timer idle_timer;
    boost::asio::signal_set signals;
    std::string state = "ready";
    bool drained = false;
    int sequence = 0;
    std::size_t running = 0;
};

} // namespace endivehinge::tests

#endif
