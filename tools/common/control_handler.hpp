#ifndef ENDIVEHINGE_TOOLS_COMMON_CONTROL_HANDLER_HPP
#define ENDIVEHINGE_TOOLS_COMMON_CONTROL_HANDLER_HPP

#include <functional> // function
#include <utility>    // move

#include <nlohmann/json.hpp> // json

#include <common/behaviour_holder.hpp>
#include <common/json_response.hpp>
#include <endivehinge/detail/http/http_handler.hpp>

namespace endivehinge::tools
{

/// @brief the control port of a stand-in: `POST /control` changes how it
///        behaves, `GET /report` tells what it counted
template <class Behaviour>
class control_handler final : public detail::http_handler
{
public:
    using change_callback = std::function<void()>;
    using report_callback = std::function<nlohmann::json()>;

    /// @param holder outlives the handler
    /// @param changed called after each change; any thread
    /// @param report what the stand-in counted; any thread
    control_handler(behaviour_holder<Behaviour> & holder,
                    change_callback changed,
                    report_callback report)
        : behaviour(holder)
        , on_change(std::move(changed))
        , make_report(std::move(report))
    {
    }

    [[nodiscard]] http_response handle(http_request message,
                                       detail::http_connection) override
    {
        if (message.method == "GET" && message.path == "/report")
        {
            return json_response(status_ok, this->make_report());
        }
        if (message.method != "POST" || message.path != "/control")
        {
            return json_response(status_not_found, {{"error", "no such path"}});
        }
        failure reason;
        if (!this->behaviour.change(message.body, reason))
        {
            return json_response(status_bad_request,
                                 {{"error", reason.describe()}});
        }
        this->on_change();
        return json_response(status_ok, this->behaviour.get());
    }

private:
    behaviour_holder<Behaviour> & behaviour;
    change_callback on_change;
    report_callback make_report;
};

} // namespace endivehinge::tools

#endif
