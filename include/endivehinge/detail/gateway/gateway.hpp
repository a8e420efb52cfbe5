#ifndef ENDIVEHINGE_DETAIL_GATEWAY_GATEWAY_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_GATEWAY_HPP

#include <functional> // function
#include <memory>     // unique_ptr
#include <optional>   // optional

#include <boost/asio/io_context.hpp> // io_context
#include <boost/asio/signal_set.hpp> // signal_set

#include <endivehinge/core/failure.hpp>
#include <endivehinge/detail/gateway/gateway_adapters.hpp>
#include <endivehinge/detail/gateway/gateway_settings.hpp>

namespace endivehinge::detail
{

class gateway_parts;

/// @brief a node that runs on one event loop and reaches its platform through
/// adapters
class gateway
{
public:
    /// @brief reads the settings again when SIGHUP requests a reload
    using settings_source =
        std::function<std::optional<gateway_settings>(failure & reason)>;

    gateway(gateway_settings initial_settings,
            gateway_adapters platform_adapters,
            settings_source reload_source);
    gateway(gateway const &) = delete;
    gateway & operator=(gateway const &) = delete;
    ~gateway();

    /// @brief serves until SIGTERM or SIGINT
    /// @param reason connect_failed with the address that could not be bound
    /// @return whether the listeners could be opened
    /// @note thread safety: call once, from one thread
    [[nodiscard]] bool run(failure & reason);

private:
    /// @brief runs the event loop; an exception ends only its handler
    void run_loop();
    void handle_signal();
    void reload();

    boost::asio::io_context loop;
    std::unique_ptr<gateway_parts> parts;
    boost::asio::signal_set signals;
    settings_source read_settings;
};

} // namespace endivehinge::detail

#endif
