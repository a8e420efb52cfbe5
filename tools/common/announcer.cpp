#include <common/announcer.hpp>

#include <utility> // move

#include <absl/time/time.h>  // Milliseconds
#include <nlohmann/json.hpp> // json

namespace endivehinge::tools
{
namespace
{

constexpr absl::Duration announce_interval = absl::Milliseconds(200);
constexpr duration announce_timeout = std::chrono::milliseconds(500);

} // namespace

announcer::announcer(endpoint beside, target_announcement first)
    : node(std::move(beside))
    , current(std::move(first))
    , worker(&announcer::run, this)
{
}

announcer::~announcer()
{
    {
        absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    this->worker.join();
}

void announcer::change_phase(std::string const & phase)
{
    {
        absl::MutexLock lock(&this->mutex);
        if (this->current.phase == phase)
        {
            return;
        }
        this->current.phase = phase;
    }
    this->send();
}

void announcer::run()
{
    while (true)
    {
        this->send();
        absl::MutexLock lock(&this->mutex);
        if (this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping),
                                         announce_interval))
        {
            return;
        }
    }
}

void announcer::send()
{
    target_announcement said;
    {
        absl::MutexLock lock(&this->mutex);
        said = this->current;
    }
    nlohmann::json const body = {{"phase", said.phase},
                                 {"address", said.address.to_string()},
                                 {"slots", said.slots},
                                 {"connections", said.connections},
                                 {"run", said.run}};
    http_request const request{"POST", "/v1/announce", {}, body.dump()};
    detail::http_exchange_options options;
    options.timeout = announce_timeout;
    detail::http_exchange_report report;
    failure reason;
    // a node that is away hears the next one
    static_cast<void>(
        this->client.exchange(this->node, request, options, report, reason));
}

} // namespace endivehinge::tools
