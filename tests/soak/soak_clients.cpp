#include "soak_clients.hpp"

#include <algorithm> // all_of

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::tests
{

namespace http = boost::beast::http;
using std::chrono::milliseconds;

namespace
{

// a request that is held so long beyond its time limit counts as held
constexpr milliseconds held(1000);
constexpr int shortest_limit_ms = 300;
constexpr int longest_limit_ms = 2500;

} // namespace

soak_clients::soak_clients(soak_fleet & served, std::uint64_t seed)
    : fleet(served)
    , random(seed)
{
}

void soak_clients::start(duration mean_interval)
{
    this->interval = mean_interval;
    this->sending = true;
    this->send_next();
}

void soak_clients::stop()
{
    this->sending = false;
}

void soak_clients::send_next()
{
    if (!this->sending)
    {
        return;
    }
    std::uniform_int_distribution<std::size_t> member(
        0, this->fleet.members.size() - 1);
    std::uniform_int_distribution<int> limit(shortest_limit_ms,
                                             longest_limit_ms);
    std::bernoulli_distribution idempotent(0.5);
    this->send(member(this->random),
               idempotent(this->random),
               milliseconds(limit(this->random)));
    std::exponential_distribution<double> spread(1);
    this->fleet.after(std::chrono::duration_cast<duration>(
                          this->interval * spread(this->random)),
                      [this]
                      {
                          this->send_next();
                      });
}

std::shared_ptr<soak_request> soak_clients::send(std::size_t member,
                                                 bool idempotent,
                                                 duration time_limit,
                                                 std::string const & name)
{
    auto one = std::make_shared<soak_request>();
    one->id = "r-" + std::to_string(this->requests.size());
    one->idempotent = idempotent;
    one->member = member;
    one->sent = this->fleet.now();
    one->time_limit = time_limit;
    one->path = (idempotent ? "/safe/" : "/unsafe/") + name;
    this->requests.push_back(one);
    detail::request_message message{
        idempotent ? http::verb::get : http::verb::post, one->path, 11};
    message.set(http::field::host, "h.example");
    message.set("Request-Id", one->id);
    message.set("Deadline-Ms", std::to_string(time_limit / milliseconds(1)));
    if (!idempotent)
    {
        message.body() = "booking";
    }
    message.prepare_payload();
    detail::call_options options;
    options.deadline = detail::loop_now() + time_limit + held;
    options.connect_timeout = time_limit;
    options.id_field = "Request-Id";
    options.id_value = one->id;
    auto const done = [this, one](detail::call_result const & got)
    {
        one->ended = this->fleet.now();
        one->detail = got.detail;
        if (got.status == detail::call_status::answered)
        {
            one->status = got.response.result_int();
            one->body = got.response.body();
        }
    };
    auto const connection = this->fleet.members[member]->clients->send(
        std::move(message), options, false, done);
    if (!connection)
    {
        one->ended = one->sent;
        one->detail = "no connection left";
    }
    return one;
}

bool soak_clients::are_done() const
{
    return std::all_of(this->requests.begin(),
                       this->requests.end(),
                       [](auto const & one)
                       {
                           return one->ended.has_value();
                       });
}

} // namespace endivehinge::tests
