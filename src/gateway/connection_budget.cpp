#include <endivehinge/detail/gateway/connection_budget.hpp>

namespace endivehinge::detail
{

namespace
{

// without progress for this long a client stalls; several retransmissions fit
// into it
constexpr duration stall_time = std::chrono::seconds(2);
// share of a listener in the limits, which no other listener can take from it;
// in the order of listener_kind
constexpr std::array<double, listener_kind_count> listener_shares = {
    1.0 / 2, 1.0 / 4, 1.0 / 16, 1.0 / 16, 1.0 / 16};

std::size_t share_of(listener_kind listener, std::size_t limit)
{
    return static_cast<std::size_t>(
        listener_shares[static_cast<std::size_t>(listener)] *
        static_cast<double>(limit));
}

} // namespace

connection_budget::connection_budget(connection_budget_limits const & chosen)
    : limits(chosen)
{
}

connection_id connection_budget::add(listener_kind listener, time_point now)
{
    connection_id const added(++this->last_id);
    auto & created = this->entries[added];
    created.listener = listener;
    created.use.last_progress = now;
    this->of(listener).connections += 1;
    return added;
}

void connection_budget::update(connection_id connection,
                               connection_use const & use)
{
    auto & changed = this->entries.at(connection);
    auto & listener = this->of(changed.listener);
    listener.bytes += use.ordinary_bytes - changed.use.ordinary_bytes;
    this->ordinary_sum += use.ordinary_bytes - changed.use.ordinary_bytes;
    this->large_sum += use.large_bytes - changed.use.large_bytes;
    changed.use = use;
}

void connection_budget::remove(connection_id connection)
{
    auto const found = this->entries.find(connection);
    if (found == this->entries.end())
    {
        return;
    }
    auto & listener = this->of(found->second.listener);
    listener.connections -= 1;
    listener.bytes -= found->second.use.ordinary_bytes;
    this->ordinary_sum -= found->second.use.ordinary_bytes;
    this->large_sum -= found->second.use.large_bytes;
    this->entries.erase(found);
}

listener_kind connection_budget::listener_of(connection_id connection) const
{
    return this->entries.at(connection).listener;
}

std::size_t connection_budget::count() const
{
    return this->entries.size();
}

std::size_t connection_budget::ordinary_total() const
{
    return this->ordinary_sum;
}

std::size_t connection_budget::large_total() const
{
    return this->large_sum;
}

bool connection_budget::has_too_many() const
{
    return this->entries.size() > this->limits.connections;
}

bool connection_budget::has_room(std::size_t bytes) const
{
    return this->ordinary_sum + bytes <= this->limits.ordinary_bytes;
}

bool connection_budget::has_large_room(std::size_t bytes) const
{
    return this->large_sum + bytes <= this->limits.large_bytes;
}

bool connection_budget::has_half_large_room() const
{
    return this->large_sum < this->limits.large_bytes / 2;
}

bool connection_budget::is_short() const
{
    return this->ordinary_sum >
           this->limits.ordinary_bytes - this->limits.ordinary_bytes / 4;
}

bool connection_budget::may_receive_large(connection_id connection,
                                          std::size_t bytes,
                                          time_point now) const
{
    auto const needed = this->large_sum + bytes;
    return needed <= this->limits.large_bytes / 2 ||
           (needed <= this->limits.large_bytes &&
            this->first_large(now) == connection);
}

std::optional<connection_id>
connection_budget::first_large(time_point now) const
{
    std::optional<connection_id> first;
    time_point start;
    for (auto const & [id, one] : this->entries)
    {
        bool const is_candidate =
            one.use.activity == connection_activity::receiving &&
            (one.use.large_bytes > 0 || one.use.paused) &&
            !is_stalled(one.use, now);
        if (is_candidate && (!first || one.use.message_start < start ||
                             (one.use.message_start == start && id < *first)))
        {
            first = id;
            start = one.use.message_start;
        }
    }
    return first;
}

std::optional<connection_id>
connection_budget::closable(time_point now, connection_id excluded) const
{
    return this->select(
        now,
        [](connection_use const & use)
        {
            return use.ordinary_bytes;
        },
        [this, excluded](connection_id id, entry const & one)
        {
            return id != excluded &&
                   this->of(one.listener).connections >
                       share_of(one.listener, this->limits.connections);
        });
}

std::optional<connection_id>
connection_budget::ordinary_holder(time_point now, connection_id excluded) const
{
    return this->select(
        now,
        [](connection_use const & use)
        {
            return use.ordinary_bytes;
        },
        [this, excluded](connection_id id, entry const & one)
        {
            return id != excluded &&
                   this->of(one.listener).bytes >
                       share_of(one.listener, this->limits.ordinary_bytes);
        });
}

std::optional<connection_id>
connection_budget::large_holder(time_point now, connection_id excluded) const
{
    return this->select(
        now,
        [](connection_use const & use)
        {
            return use.large_bytes;
        },
        [excluded](connection_id id, entry const & one)
        {
            return id != excluded && one.use.large_bytes > 0;
        });
}

std::optional<connection_id>
connection_budget::stalled_large_holder(time_point now) const
{
    return this->select(
        now,
        [](connection_use const & use)
        {
            return use.large_bytes;
        },
        [now](connection_id /*id*/, entry const & one)
        {
            return one.use.large_bytes > 0 &&
                   precedence_of(one.use, now) == precedence::stalled;
        });
}

bool connection_budget::is_stalled(connection_use const & use, time_point now)
{
    return !use.paused && now - use.last_progress >= stall_time;
}

connection_budget::precedence
connection_budget::precedence_of(connection_use const & use, time_point now)
{
    switch (use.activity)
    {
    case connection_activity::unused:
        return is_stalled(use, now) ? precedence::stalled : precedence::unused;
    case connection_activity::idle:
        return precedence::idle;
    case connection_activity::receiving:
    case connection_activity::responding:
        return is_stalled(use, now) ? precedence::stalled
                                    : precedence::in_progress;
    case connection_activity::running:
        break;
    }
    return precedence::none;
}

connection_budget::totals & connection_budget::of(listener_kind listener)
{
    return this->listeners[static_cast<std::size_t>(listener)];
}

connection_budget::totals const &
connection_budget::of(listener_kind listener) const
{
    return this->listeners[static_cast<std::size_t>(listener)];
}

template <class Bytes, class Predicate>
std::optional<connection_id> connection_budget::select(
    time_point now, Bytes bytes, Predicate is_candidate) const
{
    std::optional<connection_id> selected;
    auto highest = precedence::none;
    connection_use const * best = nullptr;
    for (auto const & [id, one] : this->entries)
    {
        auto const rank = precedence_of(one.use, now);
        if (rank == precedence::none || rank < highest ||
            !is_candidate(id, one))
        {
            continue;
        }
        bool const is_better =
            best == nullptr || rank > highest ||
            (rank == precedence::in_progress
                 ? bytes(one.use) > bytes(*best)
                 : one.use.last_progress < best->last_progress);
        if (is_better)
        {
            selected = id;
            highest = rank;
            best = &one.use;
        }
    }
    return selected;
}

} // namespace endivehinge::detail
