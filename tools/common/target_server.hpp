#ifndef ENDIVEHINGE_TOOLS_COMMON_TARGET_SERVER_HPP
#define ENDIVEHINGE_TOOLS_COMMON_TARGET_SERVER_HPP

#include <memory> // unique_ptr
#include <thread> // thread

#include <absl/synchronization/mutex.h> // Mutex

#include <common/announcer.hpp>
#include <common/control_handler.hpp>
#include <common/target_handler.hpp>
#include <common/tool_options.hpp>
#include <endivehinge/detail/http/http_server.hpp>

namespace endivehinge::tools
{

/// @brief a target stand-in: its two ports and what it announces
class target_server
{
public:
    /// @param options `node` names the admin address of the node beside
    /// @param reason why it could not start
    [[nodiscard]] static std::unique_ptr<target_server>
    start(tool_options const & options, failure & reason);

    target_server(target_server const &) = delete;
    target_server & operator=(target_server const &) = delete;
    ~target_server();

    /// @brief where requests and GET /load go
    [[nodiscard]] std::uint16_t port() const;

    /// @brief where POST /control goes
    [[nodiscard]] std::uint16_t control_port() const;

    /// @brief says that it leaves and finishes what runs
    [[nodiscard]] bool drain(absl::Duration patience);

private:
    explicit target_server(tool_options const & options);

    bool listen(tool_options const & options, failure & reason);
    void announce(tool_options const & options, endpoint const & node);
    void follow_phase();
    void stop_following();
    void on_change();

    behaviour_holder<target_behaviour> behaviour;
    target_handler handler;
    control_handler<target_behaviour> control;
    std::unique_ptr<detail::http_server> server;
    std::unique_ptr<detail::http_server> control_server;
    std::unique_ptr<announcer> said;
    absl::Mutex mutex;
    std::string last_phase;
    bool stopping = false;
    std::thread follower;
};

} // namespace endivehinge::tools

#endif
