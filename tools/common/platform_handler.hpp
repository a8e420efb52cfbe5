#ifndef ENDIVEHINGE_TOOLS_COMMON_PLATFORM_HANDLER_HPP
#define ENDIVEHINGE_TOOLS_COMMON_PLATFORM_HANDLER_HPP

#include <atomic>   // atomic
#include <optional> // optional

#include <common/behaviour_holder.hpp>
#include <common/call_counter.hpp>
#include <common/object_table.hpp>
#include <common/platform_behaviour.hpp>
#include <endivehinge/detail/http/http_handler.hpp>

namespace endivehinge::tools
{

/// @brief the platform's object API over HTTP and JSON, with its faults
class platform_handler final : public detail::http_handler
{
public:
    /// @param objects outlives the handler
    /// @param holder outlives the handler
    platform_handler(object_table & objects,
                     behaviour_holder<platform_behaviour> & holder);

    [[nodiscard]] http_response
    handle(http_request message, detail::http_connection connection) override;

    /// @brief new control settings: lost answers are counted from here
    /// @note thread safety: any thread
    void on_change();

    /// @brief what it counted
    /// @note thread safety: any thread
    [[nodiscard]] nlohmann::json report() const;

private:
    std::optional<http_response> fail(bool is_write,
                                      platform_behaviour const & behaviour,
                                      detail::http_connection connection);
    http_response dispatch(http_request const & message,
                           platform_behaviour const & behaviour,
                           detail::http_connection connection);
    http_response list(std::string const & kind,
                       platform_behaviour const & behaviour);
    http_response access(http_request const & message,
                         std::string const & kind,
                         std::string const & name,
                         platform_behaviour const & behaviour);
    http_response watch(std::string const & kind,
                        std::string const & path,
                        platform_behaviour const & behaviour,
                        detail::http_connection connection);
    http_response old_watch(std::string const & kind,
                            object_version after,
                            platform_behaviour const & behaviour);
    object_version earlier(platform_behaviour const & behaviour) const;
    bool loses_answer();

    object_table & objects;
    behaviour_holder<platform_behaviour> & holder;
    call_counter reads;
    call_counter writes;
    call_counter watches;
    std::atomic<std::int64_t> answers_to_lose{0};
    std::atomic<std::int64_t> waiting_watches{0};
};

} // namespace endivehinge::tools

#endif
