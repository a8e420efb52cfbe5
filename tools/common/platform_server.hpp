#ifndef ENDIVEHINGE_TOOLS_COMMON_PLATFORM_SERVER_HPP
#define ENDIVEHINGE_TOOLS_COMMON_PLATFORM_SERVER_HPP

#include <cstdint> // uint16_t
#include <memory>  // unique_ptr

#include <absl/synchronization/mutex.h> // Mutex

#include <common/control_handler.hpp>
#include <common/platform_handler.hpp>
#include <endivehinge/detail/http/http_server.hpp>

namespace endivehinge::tools
{

/// @brief the platform stand-in: the object API and its control port
class platform_server
{
public:
    /// @param port of the object API; 0 takes a free one
    /// @param reason why it could not listen
    [[nodiscard]] static std::unique_ptr<platform_server>
    start(std::uint16_t port, failure & reason);

    platform_server(platform_server const &) = delete;
    platform_server & operator=(platform_server const &) = delete;

    /// @brief where the object API is, also while it refuses connections
    [[nodiscard]] std::uint16_t port() const;

    /// @brief where POST /control goes
    [[nodiscard]] std::uint16_t control_port() const;

private:
    platform_server();

    bool listen(std::uint16_t wanted, failure & reason);
    void on_change();

    object_table objects;
    behaviour_holder<platform_behaviour> behaviour{platform_behaviour()};
    platform_handler handler;
    control_handler<platform_behaviour> control;
    std::uint16_t listening_port = 0;
    // one change at a time
    absl::Mutex mutex;
    std::unique_ptr<detail::http_server> server;
    std::unique_ptr<detail::http_server> control_server;
};

} // namespace endivehinge::tools

#endif
