#include <endivehinge/detail/node/configuration_replica.hpp>

#include <string> // to_string

#include <endivehinge/coordination/configuration_timing.hpp>
#include <endivehinge/detail/log/log.hpp>

namespace endivehinge::detail
{
namespace
{

// leaves room for the message's other fields and framing
constexpr std::size_t max_change_set_bytes = std::size_t{2} * 1024 * 1024;
constexpr std::size_t min_peer_responses =
    configuration_timing().bootstrap_pull_fanout;

logger const & log()
{
    static logger const instance("configuration");
    return instance;
}

} // namespace

configuration_replica::configuration_replica(
    configuration_holder & current_holder)
    : holder(current_holder)
{
}

std::optional<object_version>
configuration_replica::merge_changes(change_set const & changes)
{
    absl::MutexLock lock(&this->mutex);
    object_version const previous_version = this->state.version();
    if (this->state.merge(changes) != merge_result::advanced)
    {
        return std::nullopt;
    }
    this->publish();
    return previous_version;
}

change_set configuration_replica::changes_after(object_version after) const
{
    absl::MutexLock lock(&this->mutex);
    return this->state.changes_after(after, max_change_set_bytes);
}

object_version configuration_replica::version() const
{
    absl::MutexLock lock(&this->mutex);
    return this->state.version();
}

void configuration_replica::record_platform_read(bool succeeded,
                                                 failure const & reason)
{
    absl::MutexLock lock(&this->mutex);
    if (!succeeded && !this->platform_failed)
    {
        log().warning(
            "Failed to read the configuration from the platform; retrying.",
            {{"reason", reason.describe()}});
    }
    if (succeeded && this->platform_failed)
    {
        log().info("The platform responds to configuration reads again.");
    }
    this->platform_failed = !succeeded;
    this->platform_responded = this->platform_responded || succeeded;
    this->publish();
}

void configuration_replica::record_peer_response()
{
    absl::MutexLock lock(&this->mutex);
    ++this->peer_response_count;
    this->publish();
}

void configuration_replica::record_initial_pull()
{
    absl::MutexLock lock(&this->mutex);
    this->initial_pull_complete = true;
    this->publish();
}

bool configuration_replica::has_platform_responded() const
{
    absl::MutexLock lock(&this->mutex);
    return this->platform_responded;
}

bool configuration_replica::is_ready() const
{
    absl::MutexLock lock(&this->mutex);
    return this->may_serve();
}

bool configuration_replica::may_serve() const
{
    // The platform may return stale data, so peers are queried before its
    // response is put in force.
    bool const by_platform =
        this->platform_responded && this->initial_pull_complete;
    bool const by_peers = this->platform_failed &&
                          this->peer_response_count >= min_peer_responses;
    return by_platform || by_peers;
}

void configuration_replica::publish()
{
    if (!this->may_serve() ||
        this->state.version() <= this->holder.current()->version)
    {
        return;
    }
    if (this->holder.replace(this->assembler.assemble(this->state)))
    {
        log().info(
            "A new configuration is in force.",
            {{"version", std::to_string(this->state.version().value())}});
    }
}

} // namespace endivehinge::detail
