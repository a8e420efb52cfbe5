#ifndef ENDIVEHINGE_TOOLS_COMMON_RELAY_SERVER_HPP
#define ENDIVEHINGE_TOOLS_COMMON_RELAY_SERVER_HPP

#include <cstdint> // uint16_t
#include <memory>  // unique_ptr
#include <thread>  // thread
#include <vector>  // vector

#include <absl/synchronization/mutex.h> // Mutex

#include <common/control_handler.hpp>
#include <common/relay_behaviour.hpp>
#include <common/relay_connection.hpp>
#include <endivehinge/detail/http/http_server.hpp>

namespace endivehinge::tools
{

/// @brief a TCP relay between two processes, with faults of its link
class relay_server
{
public:
    /// @param to where connections go on to; may be set later by control
    /// @param reason why it could not listen
    [[nodiscard]] static std::unique_ptr<relay_server>
    start(std::string const & to, failure & reason);

    relay_server(relay_server const &) = delete;
    relay_server & operator=(relay_server const &) = delete;
    ~relay_server();

    /// @brief where it takes connections
    [[nodiscard]] std::uint16_t port() const;

    /// @brief where POST /control goes
    [[nodiscard]] std::uint16_t control_port() const;

private:
    explicit relay_server(std::string const & to);

    bool listen(failure & reason);
    void accept_connections();
    void take(int accepted);
    void drop_ended();
    void on_change();
    nlohmann::json report() const;

    behaviour_holder<relay_behaviour> behaviour;
    control_handler<relay_behaviour> control;
    std::unique_ptr<detail::http_server> control_server;
    int listener = -1;
    std::uint16_t listening_port = 0;
    mutable absl::Mutex mutex;
    std::int64_t silenced = 0;
    std::uint64_t accepted_count = 0;
    std::vector<std::unique_ptr<relay_connection>> connections;
    std::thread acceptor;
};

} // namespace endivehinge::tools

#endif
