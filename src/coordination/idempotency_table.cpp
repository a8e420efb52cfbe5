#include <endivehinge/coordination/idempotency_table.hpp>

#include <algorithm> // max, min, upper_bound
#include <utility>   // move

#include <endivehinge/coordination/key_time_stamp.hpp>
#include <endivehinge/coordination/outcome_size.hpp>

namespace endivehinge
{
namespace
{

std::shared_ptr<outcome const> indeterminate_outcome(char const * detail)
{
    return std::make_shared<outcome const>(outcome::indeterminate(
        {failure_id::outcome_unknown, "idempotency record", {}, detail}));
}

key_decision decision_of(key_state state)
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
                                    clock_reading const & reading)
{
    this->expire(reading.now);
    if (auto const found = this->entries.find(key);
        found != this->entries.end())
    {
        entry const & existing = found->second;
        if (existing.fingerprint != fingerprint)
        {
            return {key_decision::reused, nullptr};
        }
        return {decision_of(existing.state), existing.result};
    }
    if (auto const stamp = time_stamp_of(key);
        stamp.has_value() &&
        *stamp > reading.wall + this->limits.caller_clock_error)
    {
        return {key_decision::stamp_ahead, nullptr};
    }
    if (!this->is_new(key, complete_since, reading))
    {
        return {key_decision::indeterminate,
                indeterminate_outcome(
                    "its record may have been lost or have expired")};
    }
    if (this->entries.size() >= this->limits.keys ||
        this->bytes + this->limits.reserved_answer_bytes >
            this->limits.answer_bytes)
    {
        return {key_decision::full, nullptr};
    }
    entry new_entry;
    new_entry.fingerprint = fingerprint;
    new_entry.bytes = this->limits.reserved_answer_bytes;
    this->bytes += new_entry.bytes;
    this->entries.emplace(key, std::move(new_entry));
    return {key_decision::started, nullptr};
}

std::shared_ptr<outcome const> idempotency_table::finish(
    idempotency_key const & key, outcome result, clock_reading const & reading)
{
    auto const found = this->entries.find(key);
    if (found == this->entries.end() ||
        found->second.state != key_state::in_flight)
    {
        return indeterminate_outcome("no request with this key is in flight");
    }
    entry & finished_entry = found->second;
    auto stored = std::make_shared<outcome const>(std::move(result));
    this->bytes -= finished_entry.bytes;
    if (stored->kind == outcome_kind::rejected)
    {
        this->entries.erase(found);
        return stored;
    }
    finished_entry.state = stored->kind == outcome_kind::answered
                               ? key_state::finished
                               : key_state::indeterminate;
    finished_entry.result = stored;
    finished_entry.bytes = size_in_bytes(*stored);
    finished_entry.recorded = reading.now;
    finished_entry.recorded_wall = reading.wall;
    this->finalize(key, finished_entry);
    return stored;
}

bool idempotency_table::is_in_flight(idempotency_key const & key) const
{
    auto const found = this->entries.find(key);
    return found != this->entries.end() &&
           found->second.state == key_state::in_flight;
}

std::vector<idempotency_record> idempotency_table::export_records(
    std::function<bool(idempotency_key const &)> const & selects,
    clock_reading const & reading)
{
    this->expire(reading.now);
    std::vector<idempotency_record> records;
    for (auto const & [key, existing] : this->entries)
    {
        if (!selects(key))
        {
            continue;
        }
        bool const is_running = existing.state == key_state::in_flight;
        records.push_back({key,
                           existing.state,
                           existing.fingerprint,
                           existing.result,
                           is_running ? reading.wall : existing.recorded_wall});
    }
    return records;
}

void idempotency_table::import_records(
    std::vector<idempotency_record> const & records,
    clock_reading const & reading)
{
    this->expire(reading.now);
    for (auto const & record : records)
    {
        this->import_record(record, reading);
    }
}

void idempotency_table::set_window(duration window,
                                   clock_reading const & reading)
{
    if (window > this->limits.window)
    {
        this->retained_since =
            std::max(this->retained_since, reading.wall - this->limits.window);
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
                               clock_reading const & reading) const
{
    auto const stamp = time_stamp_of(key);
    if (!stamp.has_value())
    {
        return !complete_since.has_value();
    }
    // records of uses before this time have expired
    wall_time since =
        std::max(this->retained_since, reading.wall - this->limits.window);
    if (complete_since.has_value())
    {
        since = std::max(since, *complete_since);
    }
    return *stamp > since + this->limits.stamp_margin();
}

void idempotency_table::expire(time_point now)
{
    while (!this->expiry_queue.empty() &&
           now - this->expiry_queue.front().recorded > this->limits.window)
    {
        auto const found = this->entries.find(this->expiry_queue.front().key);
        this->bytes -= found->second.bytes;
        this->entries.erase(found);
        this->expiry_queue.pop_front();
    }
}

// Adds the size of the answer to the total, or drops the answer if the limit
// would be exceeded, and schedules the expiry of the key.
void idempotency_table::finalize(idempotency_key const & key, entry & finalized)
{
    if (this->bytes + finalized.bytes > this->limits.answer_bytes)
    {
        finalized.state = key_state::indeterminate;
        finalized.result =
            indeterminate_outcome("it ran; its answer was too large to keep");
        finalized.bytes = 0;
    }
    this->bytes += finalized.bytes;
    auto const position =
        std::upper_bound(this->expiry_queue.begin(),
                         this->expiry_queue.end(),
                         finalized.recorded,
                         [](time_point recorded_time, expiry_entry const & e)
                         {
                             return recorded_time < e.recorded;
                         });
    this->expiry_queue.insert(position, {key, finalized.recorded});
}

void idempotency_table::import_record(idempotency_record const & source,
                                      clock_reading const & reading)
{
    bool const has_answer =
        source.state == key_state::finished && source.result != nullptr;
    auto const [position, is_added] =
        this->entries.try_emplace(source.key, entry());
    entry & existing = position->second;
    if (!is_added)
    {
        // the answer of a request that completed after the handover
        if (has_answer && existing.state == key_state::indeterminate &&
            existing.fingerprint == source.fingerprint)
        {
            std::size_t const size = size_in_bytes(*source.result);
            if (this->bytes + size <= this->limits.answer_bytes)
            {
                this->bytes += size - existing.bytes;
                existing.bytes = size;
                existing.state = key_state::finished;
                existing.result = source.result;
            }
        }
        return;
    }
    // computed from the clocks of two nodes: the error is subtracted, so that a
    // record is kept too long rather than too short
    duration const age =
        reading.wall - source.recorded - 2 * this->limits.node_clock_error;
    existing.fingerprint = source.fingerprint;
    existing.recorded = reading.now - std::max(duration(0), age);
    existing.recorded_wall = source.recorded;
    existing.state =
        has_answer ? key_state::finished : key_state::indeterminate;
    existing.result =
        has_answer
            ? source.result
            : indeterminate_outcome("it was in flight when its owner changed");
    existing.bytes = has_answer ? size_in_bytes(*source.result) : 0;
    this->finalize(source.key, existing);
}

} // namespace endivehinge
