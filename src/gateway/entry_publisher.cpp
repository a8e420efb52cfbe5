#include <endivehinge/detail/gateway/entry_publisher.hpp>

#include <algorithm> // max, min

#include <absl/strings/str_cat.h> // StrCat

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

// the store answers in milliseconds and may be slow a hundredfold
constexpr duration write_timeout = std::chrono::milliseconds(1000);
// after a failed write, doubled while writes fail
constexpr duration first_retry = std::chrono::milliseconds(100);
constexpr std::uint32_t largest_doubling = 3;
// for the first view of the store, before a write without one
constexpr duration first_view_wait = std::chrono::milliseconds(1000);

} // namespace

entry_publisher::entry_publisher(asio::io_context & loop,
                                 upstream & connections,
                                 store_adapter const & codec,
                                 event_log & events,
                                 node_name own,
                                 std::function<double()> chance)
    : store(connections)
    , adapter(codec)
    , log(events)
    , node(std::move(own))
    , random(std::move(chance))
    , timer(loop)
{
}

void entry_publisher::publish(std::optional<target_entry> wanted)
{
    this->desired = std::move(wanted);
    this->decided = true;
    if (!this->has_seen_store && !this->timer_armed)
    {
        // an entry of an earlier process is likely the same
        this->timer_armed = true;
        this->timer.expires_after(first_view_wait);
        this->timer.async_wait(
            [this](boost::system::error_code error)
            {
                if (!error)
                {
                    this->has_seen_store = true;
                    this->write();
                }
            });
    }
    this->write();
}

void entry_publisher::observed(std::optional<target_entry> held,
                               object_version version)
{
    this->has_seen_store = true;
    this->newest_seen = std::max(this->newest_seen, version);
    if (version < this->stored_version)
    {
        return;
    }
    if (this->stored && !held && this->desired)
    {
        this->log.write("entry_lapsed",
                        {{"seen_version", absl::StrCat(version.value())},
                         {"writing", this->writing ? "1" : "0"}});
    }
    this->stored = std::move(held);
    this->stored_version = this->stored ? version : object_version();
    this->write();
    this->notify();
}

void entry_publisher::when_published(std::function<void()> action)
{
    if (this->is_published())
    {
        action();
        return;
    }
    this->waiting.push_back(std::move(action));
}

bool entry_publisher::is_published() const
{
    return this->decided && this->desired == this->stored;
}

void entry_publisher::write()
{
    if (this->writing || !this->decided || !this->has_seen_store ||
        this->is_published())
    {
        return;
    }
    this->writing = true;
    this->in_progress = this->desired;
    request_message message;
    if (!this->desired)
    {
        message =
            this->adapter.remove_request(this->node, this->stored_version);
    }
    else if (this->stored_version == object_version())
    {
        message = this->adapter.create_request(*this->desired);
    }
    else
    {
        message =
            this->adapter.replace_request(*this->desired, this->stored_version);
    }
    call_options options;
    options.deadline = loop_now() + write_timeout;
    auto const sent = this->store.send(std::move(message),
                                       options,
                                       false,
                                       [this](call_result result)
                                       {
                                           this->written(std::move(result));
                                       });
    if (!sent)
    {
        this->log.write("entry_write_failed",
                        {{"reason", "no connection left"}});
        this->retry();
    }
}

void entry_publisher::written(call_result result)
{
    auto const status = result.response.result();
    if (result.status != call_status::answered)
    {
        this->log.write("entry_write_failed", {{"reason", result.detail}});
        this->retry();
        return;
    }
    failure reason;
    auto const object =
        this->adapter.read_object(result.response.body(), reason);
    if (http::to_status_class(status) != http::status_class::successful)
    {
        if (status == http::status::not_found)
        {
            this->stored.reset();
            this->stored_version = object_version();
        }
        else if (status == http::status::conflict && object)
        {
            this->take(*object);
        }
        this->log.write(
            "entry_write_failed",
            {{"reason",
              absl::StrCat("status ", result.response.result_int())}});
        this->retry();
        return;
    }
    // a change after this write may have been seen before its answer
    if (!object || object->version >= this->newest_seen)
    {
        this->stored = this->in_progress;
        this->stored_version =
            object && this->stored ? object->version : object_version();
    }
    this->log.write(
        "entry_written",
        {{"target", this->in_progress ? this->in_progress->id.value() : "none"},
         {"version", object ? absl::StrCat(object->version.value()) : ""},
         {"seen_version", absl::StrCat(this->newest_seen.value())}});
    this->failures = 0;
    this->writing = false;
    this->notify();
    this->write();
}

void entry_publisher::take(replicated_object const & object)
{
    failure reason;
    this->stored = this->adapter.read_target(object, reason);
    this->stored_version = object.version;
    if (!this->stored)
    {
        this->log.write("entry_unreadable", {{"reason", reason.describe()}});
    }
}

void entry_publisher::retry()
{
    auto const pause =
        first_retry * (1U << std::min(this->failures, largest_doubling));
    this->failures += 1;
    this->timer.expires_after(std::chrono::duration_cast<duration>(
        pause * (0.5 + this->random() / 2)));
    this->timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                this->writing = false;
                this->notify();
                this->write();
            }
        });
}

void entry_publisher::notify()
{
    if (!this->is_published())
    {
        return;
    }
    for (auto const & action : std::exchange(this->waiting, {}))
    {
        action();
    }
}

} // namespace endivehinge::detail
