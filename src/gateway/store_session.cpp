#include <endivehinge/detail/gateway/store_session.hpp>

#include <algorithm> // min

#include <absl/strings/str_cat.h> // StrCat

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

// for a list; the store answers in milliseconds and may be slow a hundredfold
constexpr duration list_timeout = std::chrono::milliseconds(1500);
// how long the store holds a watch without a change; each call has a price. A
// watch that a hanging store has taken is given up after the wait and the
// grace, and lapsed entries are to be back 2 s after the store is
constexpr duration watch_wait = std::chrono::milliseconds(1200);
// for the answer after that wait
constexpr duration watch_grace = std::chrono::milliseconds(400);
// between a change and the next watch, so that changes that come together
// are one call
constexpr duration watch_pause = std::chrono::milliseconds(150);
// after a failed call, doubled while the store fails
constexpr duration first_retry = std::chrono::milliseconds(100);
constexpr duration longest_retry = std::chrono::milliseconds(800);
constexpr std::uint32_t largest_doubling = 3;
// asked first, and alone while the store fails
constexpr object_kind first_kind = object_kind::configuration;
constexpr object_kind other_kinds[] = {object_kind::evacuations,
                                       object_kind::targets};

} // namespace

store_session::store_session(asio::io_context & loop,
                             upstream & connections,
                             store_adapter const & codec,
                             event_log & events,
                             fleet_replica & copies,
                             std::function<double()> chance)
    : io(loop)
    , store(connections)
    , adapter(codec)
    , log(events)
    , replica(copies)
    , random(std::move(chance))
    , retry_timer(loop)
{
}

void store_session::start()
{
    if (this->active)
    {
        return;
    }
    this->active = true;
    this->failures = 0;
    this->log.write("store_followed", {});
    this->follow(first_kind);
}

void store_session::stop()
{
    if (!this->active)
    {
        return;
    }
    this->active = false;
    this->connected = false;
    this->cancel_calls();
    this->log.write("store_left", {});
}

bool store_session::is_active() const
{
    return this->active;
}

bool store_session::is_connected() const
{
    return this->active && this->connected;
}

time_point store_session::confirmed() const
{
    return this->last_answer;
}

store_session::kind_state & store_session::state_of(object_kind kind)
{
    return this->kinds[static_cast<std::size_t>(kind)];
}

void store_session::follow(object_kind kind)
{
    auto & state = this->state_of(kind);
    if (!state.following)
    {
        state.following = true;
        this->list(kind, "");
    }
}

void store_session::send(object_kind kind,
                         request_message message,
                         duration timeout,
                         void (store_session::*done)(object_kind,
                                                     call_result const &))
{
    call_options options;
    options.deadline = loop_now() + timeout;
    auto const current = this->generation;
    auto & state = this->state_of(kind);
    state.call =
        this->store.send(std::move(message),
                         options,
                         false,
                         [this, kind, done, current](call_result const & result)
                         {
                             if (current == this->generation)
                             {
                                 // the connection may carry another call from
                                 // now on
                                 this->state_of(kind).call = nullptr;
                                 (this->*done)(kind, result);
                             }
                         });
    if (!state.call)
    {
        this->failed(kind, "no connection left");
    }
}

void store_session::list(object_kind kind, std::string const & after)
{
    if (after.empty())
    {
        this->state_of(kind).pages = object_changes{};
    }
    this->send(kind,
               this->adapter.list_request(kind, after),
               list_timeout,
               &store_session::listed);
}

void store_session::listed(object_kind kind, call_result const & result)
{
    auto const page = this->read_page(result);
    if (!page)
    {
        this->failed(kind, result.detail);
        return;
    }
    auto & pages = this->state_of(kind).pages;
    if (pages.objects.empty())
    {
        // changes after the first page are seen by the watch
        pages.version = page->version;
        pages.complete = true;
    }
    pages.objects.insert(
        pages.objects.end(), page->objects.begin(), page->objects.end());
    if (page->has_more && !page->objects.empty())
    {
        this->list(kind, page->objects.back().name);
        return;
    }
    this->succeeded();
    this->replica.apply(kind, std::exchange(pages, {}), "store");
    this->watch(kind);
}

void store_session::watch(object_kind kind)
{
    auto const versions = this->replica.versions();
    this->send(
        kind,
        this->adapter.watch_request(
            kind, versions.kinds[static_cast<std::size_t>(kind)], watch_wait),
        watch_wait + watch_grace,
        &store_session::watched);
}

void store_session::watched(object_kind kind, call_result const & result)
{
    if (result.status == call_status::answered &&
        result.response.result() == http::status::gone)
    {
        this->list(kind, "");
        return;
    }
    auto const page = this->read_page(result);
    if (!page)
    {
        this->failed(kind, result.detail);
        return;
    }
    this->succeeded();
    if (page->objects.empty())
    {
        // the version stays: a store that drops history may end a watch
        // without the changes up to the version that it names
        this->watch(kind);
        return;
    }
    this->replica.apply(kind, {page->version, false, page->objects}, "store");
    auto const timer = std::make_shared<asio::steady_timer>(this->io);
    timer->expires_after(watch_pause);
    timer->async_wait(
        [this, timer, kind, current = this->generation](
            boost::system::error_code error)
        {
            if (!error && current == this->generation)
            {
                this->watch(kind);
            }
        });
}

std::optional<store_page> store_session::read_page(call_result const & result)
{
    if (result.status != call_status::answered)
    {
        return std::nullopt;
    }
    if (result.response.result() != http::status::ok)
    {
        this->log.write(
            "store_refused",
            {{"status", absl::StrCat(result.response.result_int())}});
        return std::nullopt;
    }
    failure reason;
    auto page = this->adapter.read_page(result.response.body(), reason);
    if (!page)
    {
        this->log.write("store_unreadable", {{"reason", reason.describe()}});
    }
    return page;
}

void store_session::succeeded()
{
    this->last_answer = loop_now();
    this->failures = 0;
    if (!this->connected)
    {
        this->connected = true;
        this->log.write("store_regained", {});
        for (auto const kind : other_kinds)
        {
            this->follow(kind);
        }
    }
}

void store_session::failed(object_kind kind, std::string const & why)
{
    if (this->connected || this->failures == 0)
    {
        this->log.write("store_lost",
                        {{"kind", to_string(kind)},
                         {"reason", why.empty() ? "refused" : why}});
    }
    this->connected = false;
    this->cancel_calls();
    auto const pause = std::min(
        longest_retry,
        first_retry * (1U << std::min(this->failures, largest_doubling)));
    this->failures += 1;
    this->retry_timer.expires_after(std::chrono::duration_cast<duration>(
        pause * (0.5 + this->random() / 2)));
    this->retry_timer.async_wait(
        [this, current = this->generation](boost::system::error_code error)
        {
            if (!error && current == this->generation && this->active)
            {
                this->follow(first_kind);
            }
        });
}

void store_session::cancel_calls()
{
    this->generation += 1;
    for (auto & state : this->kinds)
    {
        if (state.call)
        {
            state.call->cancel();
        }
        state = kind_state{};
    }
}

} // namespace endivehinge::detail
