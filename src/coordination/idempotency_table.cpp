#include <endivehinge/coordination/idempotency_table.hpp>

#include <algorithm> // max, min, upper_bound
#include <utility>   // move

#include <endivehinge/coordination/key_time_stamp.hpp>
#include <endivehinge/coordination/outcome_size.hpp>

namespace endivehinge
{
namespace
{

std::shared_ptr<outcome const> unknown(char const * detail)
{
    return std::make_shared<outcome const>(outcome::indeterminate(
        {failure_id::outcome_unknown, "idempotency record", {}, detail}));
}

key_decision decide(key_state state)
{
    switch (state)
    {
    case key_state::in_flight:
        return key_decision::in_flight;
    case key_state::finished:
        return key_decision::finished;
    case key_state::indeterminate:
        return key_decision::indeterminate;
    }
    return key_decision::indeterminate;
}

} // namespace

idempotency_table::idempotency_table(idempotency_limits const & bounds)
    : limits(bounds)
{
}

key_report idempotency_table::begin(idempotency_key const & key,
                                    request_fingerprint fingerprint,
                                    std::optional<wall_time> complete_since,
                                    clock_reading const & at)
{
    this->expire(at.now);
    if (auto const found = this->entries.find(key);
        found != this->entries.end())
    {
        entry const & known = found->second;
        if (known.fingerprint != fingerprint)
        {
            return {key_decision::reused, nullptr};
        }
        return {decide(known.state), known.result};
    }
    if (auto const stamp = time_stamp_of(key);
        stamp.has_value() && *stamp > at.wall + this->limits.caller_clock_error)
    {
        return {key_decision::stamp_ahead, nullptr};
    }
    if (!this->is_new(key, complete_since, at))
    {
        return {key_decision::indeterminate,
                unknown("its record may have been lost or have expired")};
    }
    if (this->entries.size() >= this->limits.keys ||
        this->bytes + this->limits.reserved_answer_bytes >
            this->limits.answer_bytes)
    {
        return {key_decision::full, nullptr};
    }
    entry next;
    next.fingerprint = fingerprint;
    next.bytes = this->limits.reserved_answer_bytes;
    this->bytes += next.bytes;
    this->entries.emplace(key, std::move(next));
    return {key_decision::started, nullptr};
}

std::shared_ptr<outcome const> idempotency_table::finish(
    idempotency_key const & key, outcome result, clock_reading const & at)
{
    auto const found = this->entries.find(key);
    if (found == this->entries.end() ||
        found->second.state != key_state::in_flight)
    {
        return unknown("no request with this key is in flight");
    }
    entry & ended = found->second;
    auto shared = std::make_shared<outcome const>(std::move(result));
    this->bytes -= ended.bytes;
    if (shared->kind == outcome_kind::rejected)
    {
        this->entries.erase(found);
        return shared;
    }
    ended.state = shared->kind == outcome_kind::answered
                      ? key_state::finished
                      : key_state::indeterminate;
    ended.result = shared;
    ended.bytes = size_in_bytes(*shared);
    ended.recorded = at.now;
    ended.recorded_wall = at.wall;
    this->settle(key, ended);
    return shared;
}

bool idempotency_table::is_in_flight(idempotency_key const & key) const
{
    auto const found = this->entries.find(key);
    return found != this->entries.end() &&
           found->second.state == key_state::in_flight;
}

std::vector<idempotency_record> idempotency_table::export_records(
    std::function<bool(idempotency_key const &)> const & selects,
    clock_reading const & at)
{
    this->expire(at.now);
    std::vector<idempotency_record> records;
    for (auto const & [key, known] : this->entries)
    {
        if (!selects(key))
        {
            continue;
        }
        bool const runs = known.state == key_state::in_flight;
        records.push_back({key,
                           known.state,
                           known.fingerprint,
                           known.result,
                           runs ? at.wall : known.recorded_wall});
    }
    return records;
}

void idempotency_table::import_records(
    std::vector<idempotency_record> const & records, clock_reading const & at)
{
    this->expire(at.now);
    for (auto const & record : records)
    {
        this->import_record(record, at);
    }
}

void idempotency_table::set_window(duration window, clock_reading const & at)
{
    if (window > this->limits.window)
    {
        this->kept_since =
            std::max(this->kept_since, at.wall - this->limits.window);
    }
    this->limits.window = window;
}

std::size_t idempotency_table::size() const
{
    return this->entries.size();
}

std::size_t idempotency_table::answer_bytes() const
{
    return this->bytes;
}

idempotency_limits const & idempotency_table::bounds() const
{
    return this->limits;
}

bool idempotency_table::is_new(idempotency_key const & key,
                               std::optional<wall_time> complete_since,
                               clock_reading const & at) const
{
    auto const stamp = time_stamp_of(key);
    if (!stamp.has_value())
    {
        return !complete_since.has_value();
    }
    // records of uses before that have expired
    wall_time since = std::max(this->kept_since, at.wall - this->limits.window);
    if (complete_since.has_value())
    {
        since = std::max(since, *complete_since);
    }
    return *stamp > since + this->limits.stamp_margin();
}

void idempotency_table::expire(time_point now)
{
    while (!this->endings.empty() &&
           now - this->endings.front().recorded > this->limits.window)
    {
        auto const found = this->entries.find(this->endings.front().key);
        this->bytes -= found->second.bytes;
        this->entries.erase(found);
        this->endings.pop_front();
    }
}

// counts an answer, or drops it where there is no room, and orders its expiry
void idempotency_table::settle(idempotency_key const & key, entry & settled)
{
    if (this->bytes + settled.bytes > this->limits.answer_bytes)
    {
        settled.state = key_state::indeterminate;
        settled.result = unknown("it ran; its answer was too large to keep");
        settled.bytes = 0;
    }
    this->bytes += settled.bytes;
    auto const place = std::upper_bound(this->endings.begin(),
                                        this->endings.end(),
                                        settled.recorded,
                                        [](time_point when, ending const & e)
                                        {
                                            return when < e.recorded;
                                        });
    this->endings.insert(place, {key, settled.recorded});
}

void idempotency_table::import_record(idempotency_record const & source,
                                      clock_reading const & at)
{
    bool const has_answer =
        source.state == key_state::finished && source.result != nullptr;
    auto const [place, is_added] =
        this->entries.try_emplace(source.key, entry());
    entry & known = place->second;
    if (!is_added)
    {
        // the answer of a request that ran on after the handover
        if (has_answer && known.state == key_state::indeterminate &&
            known.fingerprint == source.fingerprint)
        {
            std::size_t const size = size_in_bytes(*source.result);
            if (this->bytes + size <= this->limits.answer_bytes)
            {
                this->bytes += size - known.bytes;
                known.bytes = size;
                known.state = key_state::finished;
                known.result = source.result;
            }
        }
        return;
    }
    // its age by the clocks of two nodes; kept rather too long
    duration const age =
        at.wall - source.recorded - 2 * this->limits.node_clock_error;
    known.fingerprint = source.fingerprint;
    known.recorded = at.now - std::max(duration(0), age);
    known.recorded_wall = source.recorded;
    known.state = has_answer ? key_state::finished : key_state::indeterminate;
    known.result = has_answer
                       ? source.result
                       : unknown("it was in flight when its owner changed");
    known.bytes = has_answer ? size_in_bytes(*source.result) : 0;
    this->settle(source.key, known);
}

} // namespace endivehinge
