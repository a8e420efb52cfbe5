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

// for a list; the store usually responds in milliseconds and may be 100 times
// slower
constexpr duration list_timeout = std::chrono::milliseconds(1500);
// how long the store may leave a watch (a long poll for changes) unanswered.
// The watch of the probe kind also shows whether the store responds at all: one
// that a hanging store accepted times out after this time plus the margin, and
// expired entries must return within 2 s of the store's recovery
constexpr duration probe_watch_hold_time = std::chrono::milliseconds(1200);
// the same for other kinds: a failed watch of the probe kind cancels theirs,
// and other nodes report changes that a silent connection loses; calls are
// charged
constexpr duration watch_hold_time = std::chrono::milliseconds(4800);
// for the response to begin after the hold time
constexpr duration watch_response_margin = std::chrono::milliseconds(400);
// without further bytes of a response that has begun; a long configuration
// takes seconds on a slow link
constexpr duration progress_limit = std::chrono::milliseconds(1500);
// between a change and the next watch, so that changes in quick succession
// need one call
constexpr duration watch_coalescing_delay = std::chrono::milliseconds(150);
// after a failed call; doubles with each consecutive failure
constexpr duration initial_retry_delay = std::chrono::milliseconds(100);
constexpr duration max_retry_delay = std::chrono::milliseconds(800);
constexpr std::uint32_t max_backoff_exponent = 3;
// requested first, and alone while the store fails
constexpr object_kind probe_kind = object_kind::configuration;

duration hold_time_of(object_kind kind)
{
    return kind == probe_kind ? probe_watch_hold_time : watch_hold_time;
}

} // namespace

store_session::store_session(asio::io_context & loop,
                             upstream & connections,
                             store_adapter const & codec,
                             event_log & events,
                             store_era_reader & era_reader,
                             fleet_replica & local_replica,
                             std::vector<object_kind> kinds_to_follow,
                             std::function<double()> random_source)
    : io(loop)
    , store(connections)
    , adapter(codec)
    , log(events)
    , eras(era_reader)
    , replica(local_replica)
    , followed_kinds(std::move(kinds_to_follow))
    , random(std::move(random_source))
    , retry_timer(loop)
{
}

void store_session::on_current_configuration(confirmation_handler new_callback)
{
    this->configuration_callback = std::move(new_callback);
}

void store_session::start()
{
    if (this->active)
    {
        return;
    }
    this->active = true;
    this->consecutive_failures = 0;
    this->log.write("store_followed", {});
    this->synchronize(probe_kind);
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

void store_session::resynchronize()
{
    if (!this->active)
    {
        return;
    }
    this->cancel_calls();
    for (auto const kind : this->followed_kinds)
    {
        this->synchronize(kind);
    }
}

bool store_session::is_active() const
{
    return this->active;
}

bool store_session::is_connected() const
{
    return this->active && this->connected;
}

time_point store_session::last_response_time() const
{
    return this->last_response;
}

store_session::kind_state & store_session::state_of(object_kind kind)
{
    return this->kinds[static_cast<std::size_t>(kind)];
}

void store_session::synchronize(object_kind kind)
{
    auto & state = this->state_of(kind);
    if (!state.synchronizing)
    {
        state.synchronizing = true;
        this->list(kind, "");
    }
}

void store_session::send(
    object_kind kind,
    request_message message,
    duration timeout,
    void (store_session::*on_response)(object_kind, call_result const &))
{
    call_options options;
    options.deadline = loop_now() + timeout;
    options.progress_limit = progress_limit;
    auto const call_generation = this->generation;
    auto & state = this->state_of(kind);
    state.sent_at = boot_clock::now();
    state.connection = this->store.send(
        std::move(message),
        options,
        false,
        [this, kind, on_response, call_generation](call_result const & result)
        {
            if (call_generation != this->generation)
            {
                return;
            }
            // the connection may be reused for another call
            this->state_of(kind).connection = nullptr;
            if (result.status == call_status::answered)
            {
                auto const era = this->eras.read(result.response);
                if (call_generation != this->generation)
                {
                    // the era rose, and all kinds are being listed again
                    return;
                }
                if (!era)
                {
                    this->record_failure(kind, "answer of an earlier era");
                    return;
                }
                this->response_era = *era;
            }
            (this->*on_response)(kind, result);
        });
    if (!state.connection)
    {
        this->record_failure(kind, "no free store connection; retrying");
    }
}

void store_session::list(object_kind kind, std::string const & after)
{
    if (after.empty())
    {
        this->state_of(kind).pages = object_changes{};
        this->state_of(kind).list_sent_at = boot_clock::now();
    }
    this->send(kind,
               this->adapter.list_request(kind, after, read_freshness::current),
               list_timeout,
               &store_session::on_list_response);
}

void store_session::on_list_response(object_kind kind,
                                     call_result const & result)
{
    auto const page = this->read_page(kind, result);
    if (!page)
    {
        this->record_failure(kind, result.detail);
        return;
    }
    auto & pages = this->state_of(kind).pages;
    if (pages.objects.empty())
    {
        // the watch starts at the version of the first page and returns changes
        // made while later pages were read
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
    this->record_success();
    auto const list_version = pages.version;
    auto const sent_at = this->state_of(kind).list_sent_at;
    this->replica.apply(kind, std::exchange(pages, {}), {"store", result});
    this->confirm(kind, sent_at, duration(0));
    if (this->state_of(kind).lost_histories > 0 &&
        list_version < this->version_of(kind))
    {
        // the store has not reached the version of the copy, so that a watch
        // from there has no history; without an era, only waiting is left
        this->state_of(kind).lost_histories += 1;
        this->list_later(kind);
        return;
    }
    this->watch(kind);
}

void store_session::list_all(object_kind kind)
{
    this->list(kind, "");
}

void store_session::list_later(object_kind kind)
{
    auto const lost_histories = this->state_of(kind).lost_histories;
    this->run_later(kind,
                    lost_histories > 1 ? this->retry_delay(lost_histories - 1)
                                       : watch_coalescing_delay,
                    &store_session::list_all);
}

object_version store_session::version_of(object_kind kind) const
{
    return this->replica.version_of(kind);
}

void store_session::watch(object_kind kind)
{
    auto const version = this->version_of(kind);
    if (version.era() < this->eras.newest())
    {
        this->state_of(kind).lost_histories += 1;
        this->list_later(kind);
        return;
    }
    auto const hold_time = hold_time_of(kind);
    this->send(kind,
               this->adapter.watch_request(kind, version, hold_time),
               hold_time + watch_response_margin,
               &store_session::on_watch_response);
}

void store_session::on_watch_response(object_kind kind,
                                      call_result const & result)
{
    if (result.status == call_status::answered &&
        result.response.result() == http::status::gone)
    {
        this->last_response = loop_now();
        this->state_of(kind).lost_histories += 1;
        this->list_later(kind);
        return;
    }
    auto const page = this->read_page(kind, result);
    if (!page)
    {
        this->record_failure(kind, result.detail);
        return;
    }
    this->record_success();
    this->state_of(kind).lost_histories = 0;
    auto const sent_at = this->state_of(kind).sent_at;
    if (page->objects.empty())
    {
        this->confirm(kind, sent_at, hold_time_of(kind));
        // keeps the old version: a store that has dropped history may end a
        // watch with a newer version but without the changes up to it
        this->watch(kind);
        return;
    }
    this->replica.apply(
        kind, {page->version, false, page->objects}, {"store", result});
    this->confirm(kind, sent_at, duration(0));
    this->run_later(kind, watch_coalescing_delay, &store_session::watch);
}

void store_session::run_later(object_kind kind,
                              duration delay,
                              void (store_session::*action)(object_kind))
{
    auto const timer = std::make_shared<asio::steady_timer>(this->io);
    timer->expires_after(delay);
    timer->async_wait(
        [this, timer, kind, action, call_generation = this->generation](
            boost::system::error_code error)
        {
            if (!error && call_generation == this->generation)
            {
                (this->*action)(kind);
            }
        });
}

std::optional<store_page> store_session::read_page(object_kind kind,
                                                   call_result const & result)
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
    auto page = this->adapter.read_page(
        kind, result.response.body(), this->response_era, reason);
    if (!page)
    {
        this->log.write("store_unreadable", {{"reason", reason.describe()}});
    }
    return page;
}

void store_session::record_success()
{
    this->last_response = loop_now();
    this->consecutive_failures = 0;
    if (!this->connected)
    {
        this->connected = true;
        this->log.write("store_regained", {});
        for (auto const kind : this->followed_kinds)
        {
            if (kind != probe_kind)
            {
                this->synchronize(kind);
            }
        }
    }
}

void store_session::record_failure(object_kind kind, std::string const & reason)
{
    if (this->connected || this->consecutive_failures == 0)
    {
        this->log.write(
            "store_lost",
            {{"kind", to_string(kind)},
             {"reason",
              reason.empty()
                  ? "store refused the request or sent an unreadable response"
                  : reason}});
    }
    this->connected = false;
    this->cancel_calls();
    this->retry_timer.expires_after(
        this->retry_delay(this->consecutive_failures));
    this->consecutive_failures += 1;
    this->retry_timer.async_wait(
        [this,
         call_generation = this->generation](boost::system::error_code error)
        {
            if (!error && call_generation == this->generation && this->active)
            {
                this->synchronize(probe_kind);
            }
        });
}

duration store_session::retry_delay(std::uint32_t failures)
{
    auto const delay = std::min(
        max_retry_delay,
        initial_retry_delay * (1U << std::min(failures, max_backoff_exponent)));
    return std::chrono::duration_cast<duration>(delay *
                                                (0.5 + this->random() / 2));
}

void store_session::confirm(object_kind kind,
                            boot_time sent,
                            duration hold) const
{
    if (kind == object_kind::configuration)
    {
        this->configuration_callback(sent, hold);
    }
}

void store_session::cancel_calls()
{
    this->generation += 1;
    for (auto & state : this->kinds)
    {
        if (state.connection)
        {
            state.connection->cancel();
        }
        state = kind_state{};
    }
}

} // namespace endivehinge::detail
