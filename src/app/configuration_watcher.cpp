#include <endivehinge/detail/node/configuration_watcher.hpp>

#include <algorithm> // max
#include <string>    // to_string

#include <absl/time/time.h> // Milliseconds

#include <endivehinge/coordination/configuration_entry.hpp>
#include <endivehinge/detail/log/log.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr absl::Duration refresh_interval = absl::Milliseconds(500);

logger const & log()
{
    static logger const instance("configuration");
    return instance;
}

} // namespace

configuration_watcher::configuration_watcher(object_store & platform,
                                             configuration_holder & target)
    : store(platform)
    , holder(target)
{
}

configuration_watcher::~configuration_watcher()
{
    this->stop();
}

void configuration_watcher::start()
{
    this->worker = std::thread(&configuration_watcher::run, this);
}

void configuration_watcher::stop()
{
    {
        absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    if (this->worker.joinable())
    {
        this->worker.join();
    }
}

void configuration_watcher::run()
{
    while (true)
    {
        this->refresh();
        absl::MutexLock lock(&this->mutex);
        if (this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping),
                                         refresh_interval))
        {
            return;
        }
    }
}

void configuration_watcher::refresh()
{
    failure reason;
    object_version const after = this->state.version();
    auto const seen =
        this->store.watch(configuration_kind, after, duration(0), reason);
    if (!seen.has_value())
    {
        return;
    }
    change_set changes{after, after, seen->changes};
    for (auto const & object : seen->changes)
    {
        changes.upto = std::max(changes.upto, object.version);
    }
    if (this->state.merge(changes) == merge_result::advanced &&
        this->holder.replace(this->assembler.assemble(this->state)))
    {
        log().info(
            "A configuration is in force.",
            {{"version", std::to_string(this->state.version().value())}});
    }
}

} // namespace endivehinge::detail
