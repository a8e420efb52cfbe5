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

// the store usually responds in milliseconds and may be 100 times slower
constexpr duration write_timeout = std::chrono::milliseconds(1000);
// after a failed write; doubles with each consecutive failure
constexpr duration initial_retry_delay = std::chrono::milliseconds(100);
constexpr std::uint32_t max_backoff_exponent = 3;
// limit on waiting for the first read of the store; then the entry is written
// without one
constexpr duration first_read_wait_limit = std::chrono::milliseconds(1000);
// up to which the write of an entry that a restore of the store lost waits at
// random, so that a fleet stays below the rate of the store's calls; with the
// delay of a pull, the entry must be back within 2 s (issue 23)
constexpr duration max_rewrite_delay = std::chrono::milliseconds(500);

} // namespace

entry_publisher::entry_publisher(asio::io_context & loop,
                                 upstream & connections,
                                 store_adapter const & codec,
                                 event_log & events,
                                 store_era_reader & era_reader,
                                 node_name own_node,
                                 std::function<double()> random_source)
    : store(connections)
    , adapter(codec)
    , log(events)
    , eras(era_reader)
    , node(std::move(own_node))
    , random(std::move(random_source))
    , timer(loop)
{
}

void entry_publisher::publish(std::optional<target_entry> desired_entry)
{
    this->desired = std::move(desired_entry);
    this->has_desired_state = true;
    if (!this->store_was_read && !this->timer_armed)
    {
        // waits for the first read because an entry of an earlier process is
        // probably identical
        this->timer_armed = true;
        this->timer.expires_after(first_read_wait_limit);
        this->timer.async_wait(
            [this](boost::system::error_code error)
            {
                if (!error)
                {
                    this->store_was_read = true;
                    this->write();
                }
            });
    }
    this->write();
}

void entry_publisher::record_stored(std::optional<target_entry> stored_entry,
                                    object_version version)
{
    this->store_was_read = true;
    bool const was_restored = this->newest_seen_version.era() != store_era() &&
                              version.era() > this->newest_seen_version.era();
    this->newest_seen_version = std::max(this->newest_seen_version, version);
    if (version < this->stored_version)
    {
        return;
    }
    if (this->stored && !stored_entry && this->desired)
    {
        this->log.write("entry_lapsed",
                        {{"seen_version", absl::StrCat(version.value())},
                         {"writing", this->writing ? "1" : "0"}});
    }
    this->stored = std::move(stored_entry);
    this->stored_version = this->stored ? version : object_version();
    if (was_restored && !this->writing && !this->is_published())
    {
        this->schedule_write(std::chrono::duration_cast<duration>(
            max_rewrite_delay * this->random()));
    }
    this->write();
    this->run_publish_callbacks();
}

void entry_publisher::when_published(std::function<void()> callback)
{
    if (this->is_published())
    {
        callback();
        return;
    }
    this->publish_callbacks.push_back(std::move(callback));
}

bool entry_publisher::is_published() const
{
    return this->has_desired_state && this->desired == this->stored;
}

void entry_publisher::write()
{
    if (this->writing || !this->has_desired_state || !this->store_was_read ||
        this->is_published())
    {
        return;
    }
    bool const is_position_lost =
        this->stored_version.era() < this->eras.newest();
    if (!this->desired && is_position_lost)
    {
        // the revision may have been given out again, to another change
        this->schedule_retry();
        return;
    }
    this->writing = true;
    this->entry_being_written = this->desired;
    request_message message;
    if (!this->desired)
    {
        message =
            this->adapter.remove_request(this->node, this->stored_version);
    }
    else if (this->stored_version == object_version() || is_position_lost)
    {
        // if the entry exists, the response contains it
        message = this->adapter.create_request(*this->desired);
    }
    else
    {
        message =
            this->adapter.replace_request(*this->desired, this->stored_version);
    }
    call_options options;
    options.deadline = loop_now() + write_timeout;
    auto const connection =
        this->store.send(std::move(message),
                         options,
                         false,
                         [this](call_result result)
                         {
                             this->on_write_response(std::move(result));
                         });
    if (!connection)
    {
        this->log.write("entry_write_failed",
                        {{"reason", "no free store connection; retrying"}});
        this->schedule_retry();
    }
}

void entry_publisher::on_write_response(call_result result)
{
    auto const status = result.response.result();
    if (result.status != call_status::answered)
    {
        this->log.write("entry_write_failed", {{"reason", result.detail}});
        this->schedule_retry();
        return;
    }
    auto const era = this->eras.read(result.response);
    if (!era)
    {
        // the store has returned from a copy that may lack the write
        this->log.write("entry_write_failed",
                        {{"reason", "answer of an earlier era"}});
        this->schedule_retry();
        return;
    }
    failure reason;
    auto const object = this->adapter.read_object(
        object_kind::targets, result.response.body(), *era, reason);
    if (http::to_status_class(status) != http::status_class::successful)
    {
        if (status == http::status::not_found)
        {
            this->stored.reset();
            this->stored_version = object_version();
        }
        else if (status == http::status::conflict && object)
        {
            this->set_stored(*object);
        }
        this->log.write(
            "entry_write_failed",
            {{"reason",
              absl::StrCat("status ", result.response.result_int())}});
        this->schedule_retry();
        return;
    }
    // a watch may have returned a later change before the response to this
    // write arrived
    if (!object || object->version >= this->newest_seen_version)
    {
        this->stored = this->entry_being_written;
        this->stored_version =
            object && this->stored ? object->version : object_version();
    }
    this->log.write(
        "entry_written",
        {{"target",
          this->entry_being_written ? this->entry_being_written->id.value()
                                    : "none"},
         {"version", object ? absl::StrCat(object->version.value()) : ""},
         {"seen_version", absl::StrCat(this->newest_seen_version.value())}});
    this->consecutive_failures = 0;
    this->writing = false;
    this->run_publish_callbacks();
    this->write();
}

void entry_publisher::set_stored(replicated_object const & object)
{
    failure reason;
    this->stored = this->adapter.read_target(object, reason);
    this->stored_version = object.version;
    if (!this->stored)
    {
        this->log.write("entry_unreadable", {{"reason", reason.describe()}});
    }
}

void entry_publisher::schedule_retry()
{
    auto const delay =
        initial_retry_delay *
        (1U << std::min(this->consecutive_failures, max_backoff_exponent));
    this->consecutive_failures += 1;
    this->schedule_write(std::chrono::duration_cast<duration>(
        delay * (0.5 + this->random() / 2)));
}

void entry_publisher::schedule_write(duration delay)
{
    this->writing = true;
    this->timer.expires_after(delay);
    this->timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                this->writing = false;
                this->run_publish_callbacks();
                this->write();
            }
        });
}

void entry_publisher::run_publish_callbacks()
{
    if (!this->is_published())
    {
        return;
    }
    for (auto const & callback : std::exchange(this->publish_callbacks, {}))
    {
        callback();
    }
}

} // namespace endivehinge::detail
