#include <endivehinge/detail/node/configuration_replica.hpp>

#include <string> // to_string

#include <endivehinge/coordination/configuration_timing.hpp>
#include <endivehinge/detail/log/log.hpp>

namespace endivehinge::detail
{
namespace
{

// leaves room for what is added on the wire
constexpr std::size_t change_set_bytes = std::size_t{2} * 1024 * 1024;
constexpr std::size_t enough_peer_answers =
    configuration_timing().bootstrap_pull_fanout;

logger const & log()
{
    static logger const instance("configuration");
    return instance;
}

} // namespace

configuration_replica::configuration_replica(configuration_holder & target)
    : holder(target)
{
}

std::optional<object_version>
configuration_replica::take_in(change_set const & changes)
{
    absl::MutexLock lock(&this->mutex);
    object_version const before = this->state.version();
    if (this->state.merge(changes) != merge_result::advanced)
    {
        return std::nullopt;
    }
    this->publish();
    return before;
}

change_set configuration_replica::changes_after(object_version after) const
{
    absl::MutexLock lock(&this->mutex);
    return this->state.changes_after(after, change_set_bytes);
}

object_version configuration_replica::version() const
{
    absl::MutexLock lock(&this->mutex);
    return this->state.version();
}

void configuration_replica::note_platform(bool answered, failure const & reason)
{
    absl::MutexLock lock(&this->mutex);
    if (!answered && !this->platform_failed)
    {
        log().warning("The platform does not answer.",
                      {{"reason", reason.describe()}});
    }
    if (answered && this->platform_failed)
    {
        log().info("The platform answers again.");
    }
    this->platform_failed = !answered;
    this->platform_answered = this->platform_answered || answered;
    this->publish();
}

void configuration_replica::note_peer_answer()
{
    absl::MutexLock lock(&this->mutex);
    ++this->peer_answers;
    this->publish();
}

void configuration_replica::note_first_peers_asked()
{
    absl::MutexLock lock(&this->mutex);
    this->has_asked_peers = true;
    this->publish();
}

bool configuration_replica::has_platform_answered() const
{
    absl::MutexLock lock(&this->mutex);
    return this->platform_answered;
}

bool configuration_replica::is_ready() const
{
    absl::MutexLock lock(&this->mutex);
    return this->may_serve();
}

bool configuration_replica::may_serve() const
{
    // a platform that returns old data must not undo what peers know
    bool const by_platform = this->platform_answered && this->has_asked_peers;
    bool const by_peers =
        this->platform_failed && this->peer_answers >= enough_peer_answers;
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
            "A configuration is in force.",
            {{"version", std::to_string(this->state.version().value())}});
    }
}

} // namespace endivehinge::detail
