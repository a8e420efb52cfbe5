#ifndef ENDIVEHINGE_TOOLS_COMMON_ANNOUNCER_HPP
#define ENDIVEHINGE_TOOLS_COMMON_ANNOUNCER_HPP

#include <cstdint> // uint32_t, uint64_t
#include <string>  // string
#include <thread>  // thread

#include <absl/synchronization/mutex.h> // Mutex

#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/detail/http/http_client.hpp>

namespace endivehinge::tools
{

/// @brief what a target stand-in says of itself
struct target_announcement
{
    std::string phase = "ready";
    endpoint address;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint64_t run = 0;
};

/// @brief tells the node beside a target that the target is there
class announcer
{
public:
    /// @param node the admin address of the node beside the target
    announcer(endpoint node, target_announcement first);
    announcer(announcer const &) = delete;
    announcer & operator=(announcer const &) = delete;
    ~announcer();

    /// @brief says another phase from now on; at once where it changed
    /// @note thread safety: any thread
    void change_phase(std::string const & phase);

private:
    void run();
    void send();

    endpoint node;
    detail::http_client client{detail::http_client_limits()};
    absl::Mutex mutex;
    target_announcement current;
    bool stopping = false;
    std::thread worker;
};

} // namespace endivehinge::tools

#endif
