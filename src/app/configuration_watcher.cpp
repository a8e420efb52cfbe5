#include <endivehinge/detail/node/configuration_watcher.hpp>

#include <string>  // to_string
#include <utility> // move

#include <absl/time/time.h> // Milliseconds

#include <endivehinge/detail/log/log.hpp>
#include <endivehinge/detail/settings/yaml_reader.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr char const * object_kind = "configuration";
constexpr char const * object_name = "root";
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
    auto const object = this->store.get(object_kind, object_name, reason);
    if (!object.has_value() ||
        object->version <= this->holder.current()->version)
    {
        return;
    }
    auto next = read_configuration(object->value, object_name, reason);
    if (!next.has_value())
    {
        log().error("A configuration was not taken in.",
                    {{"reason", reason.describe()}});
        return;
    }
    next->version = object->version;
    if (this->holder.replace(*std::move(next)))
    {
        log().info("A configuration is in force.",
                   {{"version", std::to_string(object->version.value())}});
    }
}

} // namespace endivehinge::detail
