#include <endivehinge/coordination/restored_list_merge.hpp>

#include <algorithm> // min, min_element
#include <limits>    // numeric_limits

namespace endivehinge
{
namespace
{

/// @brief the lowest revision of the earlier history that the restore provably
///        lost; objects of the list from there on were written after it
std::uint64_t lowest_lost_revision(std::vector<restored_object> const & objects)
{
    auto lowest = std::numeric_limits<std::uint64_t>::max();
    for (auto const & [name, known, listed] : objects)
    {
        // Without a restore of the store the revision of an object never
        // decreases. A missing object is no sign of a restore, since it may
        // have been deleted.
        if (known && listed &&
            (listed->version.value() < known->version.value() ||
             (listed->version.value() == known->version.value() &&
              listed->content != known->content)))
        {
            lowest = std::min(lowest, known->version.value());
        }
    }
    return lowest;
}

} // namespace

restored_list_merge::restored_list_merge(restored_list_options settings)
    : options(settings)
{
}

void restored_list_merge::record_deletion(std::string const & name,
                                          object_digest const & last)
{
    this->deletions[name] = last;
    this->evict_deletions();
}

void restored_list_merge::record_repeated_deletion(std::string const & name)
{
    this->held.erase(name);
}

void restored_list_merge::record_change(std::string const & name)
{
    this->held.erase(name);
    this->deletions.erase(name);
}

std::size_t
restored_list_merge::apply(std::vector<restored_object> const & objects,
                           time_point now)
{
    auto const lost_revision = lowest_lost_revision(objects);
    this->renew_holds(now);
    std::size_t held_count = 0;
    for (auto const & object : objects)
    {
        switch (this->relation_of(object, lost_revision))
        {
        case relation::same:
            break;
        case relation::earlier:
            this->held[object.name] = this->hold_of(object, now);
            held_count += 1;
            break;
        case relation::newer:
            this->record_change(object.name);
            break;
        }
    }
    return held_count;
}

bool restored_list_merge::holds(std::string const & name) const
{
    return this->held.contains(name);
}

std::vector<std::string> restored_list_merge::settle(time_point now)
{
    std::vector<std::string> settled;
    for (auto const & [name, entry] : this->held)
    {
        if (entry.until && *entry.until <= now)
        {
            settled.push_back(name);
        }
    }
    for (auto const & name : settled)
    {
        this->record_change(name);
    }
    return settled;
}

std::optional<time_point> restored_list_merge::next_settle_time() const
{
    std::optional<time_point> next;
    for (auto const & [name, entry] : this->held)
    {
        if (entry.until && (!next || *entry.until < *next))
        {
            next = entry.until;
        }
    }
    return next;
}

std::vector<std::string> restored_list_merge::restored_deletions() const
{
    std::vector<std::string> names;
    for (auto const & [name, entry] : this->held)
    {
        if (!entry.until && this->deletions.contains(name))
        {
            names.push_back(name);
        }
    }
    return names;
}

restored_list_merge::relation
restored_list_merge::relation_of(restored_object const & object,
                                 std::uint64_t lost_revision) const
{
    auto const & [name, known, listed] = object;
    if (!listed)
    {
        return known ? relation::earlier : relation::same;
    }
    auto const revision = listed->version.value();
    if (known)
    {
        if (listed->content == known->content &&
            revision <= known->version.value())
        {
            return relation::same;
        }
        return revision < known->version.value() && revision < lost_revision
                   ? relation::earlier
                   : relation::newer;
    }
    auto const deletion = this->deletions.find(name);
    return deletion != this->deletions.end() &&
                   revision < deletion->second.version.value() &&
                   revision < lost_revision
               ? relation::earlier
               : relation::newer;
}

restored_list_merge::hold
restored_list_merge::hold_of(restored_object const & object,
                             time_point now) const
{
    if (object.known)
    {
        auto const settle_time = this->options.presence_settle_time;
        // the same incarnation of a target does not return to an earlier state,
        // e.g. from draining to ready
        bool const is_final = this->options.states_are_final && object.listed &&
                              object.known->subject == object.listed->subject;
        return {settle_time,
                is_final ? std::nullopt : std::optional(now + settle_time)};
    }
    bool const is_final =
        this->options.states_are_final &&
        this->deletions.at(object.name).subject == object.listed->subject;
    auto const settle_time = this->options.absence_settle_time;
    return {settle_time,
            is_final ? std::nullopt : std::optional(now + settle_time)};
}

void restored_list_merge::renew_holds(time_point now)
{
    // another restore may have lost the change that was to end the hold
    for (auto & [name, entry] : this->held)
    {
        if (entry.until)
        {
            entry.until = now + entry.settle_time;
        }
    }
}

void restored_list_merge::evict_deletions()
{
    if (this->deletions.size() <= this->options.max_deletions)
    {
        return;
    }
    auto const oldest =
        std::min_element(this->deletions.begin(),
                         this->deletions.end(),
                         [](auto const & a, auto const & b)
                         {
                             return a.second.version < b.second.version;
                         });
    this->deletions.erase(oldest);
}

} // namespace endivehinge
