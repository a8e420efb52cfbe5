#include <common/target_handler.hpp>

#include <absl/time/clock.h> // SleepFor
#include <absl/time/time.h>  // FromChrono

namespace endivehinge::tools
{
namespace
{

constexpr int status_ok = 200;

} // namespace

target_handler::target_handler(duration time)
    : service_time(time)
{
}

http_response target_handler::handle(http_request message,
                                     detail::http_connection)
{
    if (this->service_time > duration(0))
    {
        absl::SleepFor(absl::FromChrono(this->service_time));
    }
    http_response response;
    response.status = status_ok;
    response.body = message.method + " " + message.path + "\n" + message.body;
    return response;
}

} // namespace endivehinge::tools
