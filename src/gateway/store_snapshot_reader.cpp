#include <endivehinge/detail/gateway/store_snapshot_reader.hpp>

#include <algorithm> // count, max

#include <absl/strings/str_cat.h> // StrCat

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{

namespace http = boost::beast::http;

namespace
{

// for a response to begin, and without further bytes of it. When a process
// starts: the store usually responds in milliseconds, and if it does not, other
// nodes may respond earlier
constexpr duration stale_read_timeout = std::chrono::milliseconds(400);
// the same when no other node can send the objects
constexpr duration current_read_timeout = std::chrono::milliseconds(3000);

/// @brief the newest object of the first page, from which the replica continues
///
/// The stated version of an old page may be newer than its objects, and objects
/// may change while later pages are read. This version never skips a change.
object_version newest_version(store_page const & first_page)
{
    object_version newest;
    for (auto const & object : first_page.objects)
    {
        newest = std::max(newest, object.version);
    }
    return newest;
}

} // namespace

store_snapshot_reader::store_snapshot_reader(upstream & connections,
                                             store_adapter const & codec,
                                             event_log & events,
                                             store_era_reader & era_reader,
                                             fleet_replica & local_replica)
    : store(connections)
    , adapter(codec)
    , log(events)
    , eras(era_reader)
    , replica(local_replica)
{
}

void store_snapshot_reader::on_current_configuration(
    std::function<void(boot_time)> new_callback)
{
    this->configuration_callback = std::move(new_callback);
}

void store_snapshot_reader::read(
    std::array<bool, object_kind_count> const & wanted_kinds,
    read_freshness freshness,
    std::function<void()> done)
{
    if (this->pending_kinds > 0)
    {
        return;
    }
    this->pending_kinds = static_cast<std::size_t>(
        std::count(wanted_kinds.begin(), wanted_kinds.end(), true));
    this->wanted_freshness = freshness;
    this->callback = std::move(done);
    for (std::size_t i = 0; i < object_kind_count; ++i)
    {
        if (wanted_kinds[i])
        {
            this->list(static_cast<object_kind>(i), "");
        }
    }
}

bool store_snapshot_reader::is_reading() const
{
    return this->pending_kinds > 0;
}

void store_snapshot_reader::list(object_kind kind, std::string const & after)
{
    if (kind == object_kind::configuration && after.empty())
    {
        this->configuration_sent_at = boot_clock::now();
    }
    call_options options;
    options.progress_limit = this->wanted_freshness == read_freshness::current
                                 ? current_read_timeout
                                 : stale_read_timeout;
    options.deadline = loop_now() + options.progress_limit;
    auto const connection = this->store.send(
        this->adapter.list_request(kind, after, this->freshness_of(kind)),
        options,
        false,
        [this, kind](call_result const & result)
        {
            this->on_response(kind, result);
        });
    if (!connection)
    {
        this->log.write("snapshot_not_read",
                        {{"kind", to_string(kind)},
                         {"reason", "no free store connection"}});
        this->finish(kind, call_result{});
    }
}

void store_snapshot_reader::on_response(object_kind kind,
                                        call_result const & result)
{
    std::string detail;
    auto page = this->read_page(kind, result, detail);
    auto & changes = this->pages[static_cast<std::size_t>(kind)];
    if (page && !changes.objects.empty() &&
        page->version.era() != changes.version.era())
    {
        detail = "the store's era rose between two pages";
        page.reset();
    }
    if (!page)
    {
        this->log.write("snapshot_not_read",
                        {{"kind", to_string(kind)}, {"reason", detail}});
        // an incomplete list would hide the objects of the missing pages
        changes = {};
        this->finish(kind, result);
        return;
    }
    if (changes.objects.empty())
    {
        changes.version = this->freshness_of(kind) == read_freshness::current
                              ? page->version
                              : newest_version(*page);
    }
    changes.objects.insert(
        changes.objects.end(), page->objects.begin(), page->objects.end());
    if (page->has_more && !page->objects.empty())
    {
        this->list(kind, page->objects.back().name);
        return;
    }
    this->finish(kind, result);
}

std::optional<store_page> store_snapshot_reader::read_page(
    object_kind kind, call_result const & result, std::string & detail)
{
    if (result.status != call_status::answered)
    {
        detail = result.detail;
        return std::nullopt;
    }
    auto const era = this->eras.read(result.response);
    if (!era)
    {
        detail = "answer of an earlier era";
        return std::nullopt;
    }
    if (result.response.result() != http::status::ok)
    {
        detail = absl::StrCat("status ", result.response.result_int());
        return std::nullopt;
    }
    failure reason;
    auto page =
        this->adapter.read_page(kind, result.response.body(), *era, reason);
    detail = reason.detail;
    return page;
}

read_freshness store_snapshot_reader::freshness_of(object_kind kind) const
{
    switch (kind)
    {
    case object_kind::targets:
        // a node that addresses an outdated target is told so
        return read_freshness::may_be_stale;
    case object_kind::rollouts:
        // an order that is known as running after its conclusion would send
        // requests to a version that is rolled back
        return read_freshness::current;
    case object_kind::configuration:
    case object_kind::evacuations:
        break;
    }
    return this->wanted_freshness;
}

void store_snapshot_reader::finish(object_kind kind, call_result const & result)
{
    auto & changes = this->pages[static_cast<std::size_t>(kind)];
    changes.complete = true;
    // that there is no roll-out is knowledge, too: without it a node sends
    // nothing to a version that differs from the others
    bool const is_known_empty =
        kind == object_kind::rollouts && changes.version != object_version();
    if (!changes.objects.empty() || is_known_empty)
    {
        this->replica.apply(kind, changes, {"store snapshot", result});
        if (kind == object_kind::configuration &&
            this->wanted_freshness == read_freshness::current)
        {
            this->configuration_callback(this->configuration_sent_at);
        }
    }
    changes = {};
    this->pending_kinds -= 1;
    if (this->pending_kinds == 0)
    {
        this->callback();
    }
}

} // namespace endivehinge::detail
