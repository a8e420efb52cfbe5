#include <endivehinge/detail/gateway/kind_watch.hpp>

#include <algorithm> // min

#include <absl/strings/str_cat.h> // StrCat
#include <boost/asio/post.hpp>    // post

namespace endivehinge::detail
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

// for a list; the store answers in milliseconds and may be slow a hundredfold
constexpr duration list_timeout = std::chrono::milliseconds(1500);
// how long the store holds a watch without a change; each call has a price
constexpr duration watch_wait = std::chrono::seconds(10);
// for the answer after that wait
constexpr duration watch_grace = std::chrono::milliseconds(1500);
// between a change and the next watch, so that changes that come together
// are one call
constexpr duration watch_pause = std::chrono::milliseconds(100);
// after a failed call, doubled while the store fails
constexpr duration first_retry = std::chrono::milliseconds(100);
constexpr duration longest_retry = std::chrono::milliseconds(800);
constexpr std::uint32_t largest_doubling = 3;

time_point now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

kind_watch::kind_watch(asio::io_context & loop,
                       upstream & connections,
                       store_adapter const & codec,
                       event_log & events,
                       object_kind watched,
                       std::string label,
                       std::function<double()> chance)
    : io(loop)
    , store(connections)
    , adapter(codec)
    , log(events)
    , kind(watched)
    , name(std::move(label))
    , random(std::move(chance))
    , timer(loop)
{
}

void kind_watch::start(handlers chosen)
{
    this->actions = std::move(chosen);
    this->list("");
}

void kind_watch::refresh()
{
    if (!this->watching)
    {
        return;
    }
    if (this->active)
    {
        this->active->cancel();
        this->active = nullptr;
    }
    this->watch();
}

bool kind_watch::is_connected() const
{
    return this->connected;
}

time_point kind_watch::confirmed() const
{
    return this->last_success;
}

object_version kind_watch::version() const
{
    return this->copy_version;
}

void kind_watch::call(request_message message,
                      duration timeout,
                      client_connection::result_handler done)
{
    call_options options;
    options.deadline = now() + timeout;
    this->active =
        this->store.send(std::move(message), options, false, std::move(done));
    if (!this->active)
    {
        this->failed(call_result{});
    }
}

void kind_watch::list(std::string const & after)
{
    this->watching = false;
    if (after.empty())
    {
        this->pages.clear();
    }
    this->call(this->adapter.list_request(this->kind, after),
               list_timeout,
               [this](call_result result)
               {
                   this->list_response(std::move(result));
               });
}

void kind_watch::list_response(call_result result)
{
    failure reason;
    auto const page =
        result.status == call_status::answered &&
                result.response.result() == http::status::ok
            ? this->adapter.read_page(result.response.body(), reason)
            : std::nullopt;
    if (!page)
    {
        this->failed(result);
        return;
    }
    bool const first = this->pages.empty();
    if (first)
    {
        // changes after the first page are seen by the watch
        this->copy_version = page->version;
    }
    this->pages.insert(
        this->pages.end(), page->objects.begin(), page->objects.end());
    if (page->has_more && !page->objects.empty())
    {
        this->list(page->objects.back().name);
        return;
    }
    this->succeeded();
    this->actions.listed(std::exchange(this->pages, {}));
    this->watch();
}

void kind_watch::watch()
{
    this->watching = true;
    this->call(
        this->adapter.watch_request(this->kind, this->copy_version, watch_wait),
        watch_wait + watch_grace,
        [this](call_result result)
        {
            this->watch_response(std::move(result));
        });
}

void kind_watch::watch_response(call_result result)
{
    if (result.status == call_status::answered &&
        result.response.result() == http::status::gone)
    {
        this->log.write(
            "store_history_gone",
            {{"kind", this->name},
             {"version", absl::StrCat(this->copy_version.value())}});
        this->list("");
        return;
    }
    failure reason;
    auto const page =
        result.status == call_status::answered &&
                result.response.result() == http::status::ok
            ? this->adapter.read_page(result.response.body(), reason)
            : std::nullopt;
    if (!page)
    {
        this->failed(result);
        return;
    }
    this->succeeded();
    if (page->objects.empty())
    {
        // the version stays: a store that drops history may end a watch
        // without the changes up to the version that it names
        this->watch();
        return;
    }
    if (page->version > this->copy_version)
    {
        this->copy_version = page->version;
    }
    this->watching = false;
    this->actions.changed(page->objects);
    this->later(watch_pause,
                [this]
                {
                    this->watch();
                });
}

void kind_watch::failed(call_result const & result)
{
    this->watching = false;
    if (this->connected || this->failures == 0)
    {
        this->log.write(
            "store_lost",
            {{"kind", this->name},
             {"reason",
              result.status == call_status::answered
                  ? absl::StrCat("status ", result.response.result_int())
                  : result.detail},
             {"version", absl::StrCat(this->copy_version.value())}});
    }
    this->connected = false;
    auto const pause = std::min(
        longest_retry,
        first_retry * (1U << std::min(this->failures, largest_doubling)));
    this->failures += 1;
    auto const spread = std::chrono::duration_cast<duration>(
        pause * (0.5 + this->random() / 2));
    this->later(spread,
                [this]
                {
                    // a store that cut a watch may have dropped changes that
                    // a new watch from the old version does not show
                    this->list("");
                });
}

void kind_watch::succeeded()
{
    if (!this->connected)
    {
        this->log.write("store_regained",
                        {{"kind", this->name},
                         {"version", absl::StrCat(this->copy_version.value())},
                         {"failures", absl::StrCat(this->failures)}});
    }
    this->connected = true;
    this->failures = 0;
    this->last_success = now();
}

void kind_watch::later(duration pause, std::function<void()> action)
{
    this->timer.expires_after(pause);
    this->timer.async_wait(
        [action = std::move(action)](boost::system::error_code error)
        {
            if (!error)
            {
                action();
            }
        });
}

} // namespace endivehinge::detail
