#include <endivehinge/detail/node/platform_directory.hpp>

#include <utility> // move

#include <absl/time/time.h>  // Milliseconds
#include <nlohmann/json.hpp> // json

namespace endivehinge::detail
{
namespace
{

using nlohmann::json;

constexpr char const * object_kind = "nodes";
constexpr absl::Duration exchange_interval = absl::Milliseconds(250);

std::string write_member(member const & source)
{
    return json{{"name", source.name.value()},
                {"run", source.run.value()},
                {"service", source.service.value()},
                {"failure_domain", source.domain.value()},
                {"region", source.region.value()},
                {"peer", source.peer_address.to_string()},
                {"control", source.control_address.to_string()},
                {"slots", source.slots},
                {"accepts_work", source.accepts_work}}
        .dump();
}

std::optional<member> read_member(std::string const & text)
{
    json const source = json::parse(text, nullptr, false);
    if (!source.is_object())
    {
        return std::nullopt;
    }
    failure reason;
    auto const peer = endpoint::parse(source.value("peer", ""), reason);
    auto const control = endpoint::parse(source.value("control", ""), reason);
    if (!peer.has_value() || !control.has_value())
    {
        return std::nullopt;
    }
    member result;
    result.name = node_name(source.value("name", ""));
    result.run = incarnation(source.value("run", std::uint64_t{0}));
    result.service = service_name(source.value("service", ""));
    result.domain = failure_domain(source.value("failure_domain", ""));
    result.region = region_name(source.value("region", ""));
    result.peer_address = *peer;
    result.control_address = *control;
    result.slots = source.value("slots", 0U);
    result.accepts_work = source.value("accepts_work", false);
    return result;
}

} // namespace

platform_directory::platform_directory(object_store & platform)
    : store(platform)
{
}

platform_directory::~platform_directory()
{
    this->stop();
}

void platform_directory::announce(member const & latest)
{
    absl::MutexLock lock(&this->mutex);
    this->self = latest;
}

void platform_directory::start()
{
    this->worker = std::thread(&platform_directory::run, this);
}

void platform_directory::stop()
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

member_snapshot platform_directory::snapshot() const
{
    absl::MutexLock lock(&this->mutex);
    return this->members;
}

void platform_directory::run()
{
    while (true)
    {
        this->publish();
        this->refresh();
        absl::MutexLock lock(&this->mutex);
        if (this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping),
                                         exchange_interval))
        {
            return;
        }
    }
}

void platform_directory::publish()
{
    std::string name;
    std::string value;
    {
        absl::MutexLock lock(&this->mutex);
        name = this->self.name.value();
        value = write_member(this->self);
    }
    if (value == this->published)
    {
        return;
    }
    failure reason;
    auto const version = this->store.put(
        object_kind, name, this->published_version, value, reason);
    if (version.has_value())
    {
        this->published = std::move(value);
        this->published_version = *version;
        return;
    }
    // an earlier run, or an own write whose answer was lost
    if (auto const found = this->store.get(object_kind, name, reason))
    {
        this->published_version = found->version;
    }
}

void platform_directory::refresh()
{
    failure reason;
    auto const objects = this->store.list(object_kind, reason);
    if (!objects.has_value())
    {
        return;
    }
    std::vector<member> found;
    for (auto const & object : *objects)
    {
        if (auto next = read_member(object.value))
        {
            found.push_back(*std::move(next));
        }
    }
    auto shared = std::make_shared<std::vector<member> const>(std::move(found));
    absl::MutexLock lock(&this->mutex);
    this->members = std::move(shared);
}

} // namespace endivehinge::detail
