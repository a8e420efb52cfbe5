#include <endivehinge/detail/membership/contact_list.hpp>

#include <algorithm> // max, min
#include <utility>   // move

#include <absl/random/distributions.h> // Uniform
#include <absl/time/time.h>            // FromChrono
#include <nlohmann/json.hpp>           // json

#include <endivehinge/core/json_text.hpp>
#include <endivehinge/detail/log/log.hpp>

namespace endivehinge::detail
{
namespace
{

using nlohmann::json;

constexpr char const * object_kind = "contacts";
constexpr int write_tries = 3;

logger const & log()
{
    static logger const instance("contacts");
    return instance;
}

std::optional<contact> read_contact(json const & source)
{
    if (!source.is_object() || !source.contains("node") ||
        !source["node"].is_string() || !source.contains("run") ||
        !source["run"].is_number_unsigned() || !source.contains("control") ||
        !source["control"].is_string())
    {
        return std::nullopt;
    }
    failure reason;
    auto const address =
        endpoint::parse(source["control"].get<std::string>(), reason);
    if (!address.has_value())
    {
        return std::nullopt;
    }
    return contact{node_name(source["node"].get<std::string>()),
                   incarnation(source["run"].get<std::uint64_t>()),
                   *address};
}

} // namespace

std::string write_contacts(std::vector<contact> const & contacts)
{
    json list = json::array();
    for (auto const & each : contacts)
    {
        list.push_back({{"node", each.name.value()},
                        {"run", each.incarnation_number.value()},
                        {"control", each.control_address.to_string()}});
    }
    return to_json_text(list);
}

std::vector<contact> read_contacts(std::string const & value)
{
    std::vector<contact> found;
    json const list = json::parse(value, nullptr, false);
    if (!list.is_array())
    {
        return found;
    }
    for (auto const & element : list)
    {
        if (auto next = read_contact(element))
        {
            found.push_back(*std::move(next));
        }
    }
    return found;
}

duration joined_read_interval(contact_list_options const & options,
                              std::size_t members)
{
    return std::max(options.joined_interval,
                    options.joined_interval_per_member *
                        static_cast<duration::rep>(members));
}

contact_list::contact_list(object_store & platform,
                           membership_service & joined,
                           contact_list_options chosen)
    : store(platform)
    , members(joined)
    , options(chosen)
{
}

contact_list::~contact_list()
{
    this->stop();
}

void contact_list::start()
{
    this->worker = std::thread(&contact_list::run, this);
}

void contact_list::stop()
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

void contact_list::run()
{
    duration retry = this->options.min_retry;
    while (true)
    {
        bool const has_read = this->read_all();
        bool const is_settled = has_read && this->members.has_joined();
        duration const span =
            is_settled ? joined_read_interval(this->options,
                                              this->members.snapshot()->size())
                       : retry;
        retry = is_settled ? this->options.min_retry
                           : std::min(2 * retry, this->options.max_retry);
        if (!this->wait(this->jitter(span)))
        {
            return;
        }
    }
}

bool contact_list::read_all()
{
    failure reason;
    auto const objects = this->store.list(object_kind, reason);
    if (!objects.has_value())
    {
        log().debug("The platform gave no contacts.",
                    {{"reason", reason.describe()}});
        return false;
    }
    ++this->rounds;
    std::string const domain = this->members.self().domain.value();
    std::vector<contact> own;
    std::vector<endpoint> addresses;
    for (auto const & object : *objects)
    {
        auto listed = read_contacts(object.value);
        for (auto const & each : listed)
        {
            addresses.push_back(each.control_address);
        }
        if (object.name == domain)
        {
            own = std::move(listed);
        }
    }
    this->members.join(addresses);
    this->keep_domain(own);
    return true;
}

void contact_list::keep_domain(std::vector<contact> const & listed)
{
    if (!this->members.plan(listed, this->doubts_unknown()).has_value())
    {
        return;
    }
    // of many nodes that see the same need, the first ones write
    duration const longest = listed.empty() ? this->options.first_write_jitter
                                            : this->options.write_jitter;
    double const part = absl::Uniform(this->random, 0.0, 1.0);
    duration pause = std::chrono::duration_cast<duration>(longest * part);
    for (int i = 0; i < write_tries; ++i)
    {
        if (!this->wait(pause) || this->write_domain())
        {
            return;
        }
        pause = this->jitter(this->options.min_retry);
    }
}

bool contact_list::write_domain()
{
    std::string const domain = this->members.self().domain.value();
    failure reason;
    auto const object = this->store.get(object_kind, domain, reason);
    if (!object.has_value() && reason.id != failure_id::not_found)
    {
        return true;
    }
    std::vector<contact> listed;
    object_version expected;
    if (object.has_value())
    {
        listed = read_contacts(object->value);
        expected = object->version;
    }
    auto const planned = this->members.plan(listed, this->doubts_unknown());
    if (!planned.has_value())
    {
        return true;
    }
    if (this->store.put(
            object_kind, domain, expected, write_contacts(*planned), reason))
    {
        log().info("The node is a contact.", {{"domain", domain}});
        return true;
    }
    // where the answer was lost, the next round tells
    return reason.id != failure_id::version_conflict;
}

bool contact_list::doubts_unknown() const
{
    // while it catches up, a node does not know yet whom it does not know
    bool const is_catching_up =
        !this->members.is_alone() && !this->members.has_joined();
    return this->rounds > this->options.patient_rounds && !is_catching_up;
}

bool contact_list::wait(duration span)
{
    absl::MutexLock lock(&this->mutex);
    return !this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping),
                                         absl::FromChrono(span));
}

duration contact_list::jitter(duration span)
{
    double const part = absl::Uniform(this->random, 0.75, 1.25);
    return std::chrono::duration_cast<duration>(span * part);
}

} // namespace endivehinge::detail
