#include <endivehinge/detail/gateway/connection_registry.hpp>

#include <algorithm> // find
#include <utility>   // exchange, move

#include <boost/asio/post.hpp> // post

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{

namespace
{

void add_once(std::vector<connection_id> & list, connection_id connection)
{
    if (std::find(list.begin(), list.end(), connection) == list.end())
    {
        list.push_back(connection);
    }
}

} // namespace

connection_registry::connection_registry(
    boost::asio::io_context & loop,
    connection_budget_limits const & limits,
    limit_observer on_limit)
    : io(loop)
    , connections(limits)
    , observer(std::move(on_limit))
{
}

std::optional<connection_id>
connection_registry::add(listener_kind listener,
                         std::weak_ptr<budgeted_connection> connection)
{
    auto const now = loop_now();
    auto const added = this->connections.add(listener, now);
    if (this->connections.has_too_many())
    {
        auto const closable = this->connections.closable(now, added);
        if (!closable)
        {
            this->connections.remove(added);
            this->record_limit(client_limit::connections, listener);
            return std::nullopt;
        }
        this->give_up(*closable, client_limit::connections);
    }
    this->owners[added] = std::move(connection);
    return added;
}

void connection_registry::update(connection_id connection,
                                 connection_use const & use)
{
    if (!this->owners.contains(connection))
    {
        return;
    }
    this->connections.update(connection, use);
    bool const is_exceeded =
        !this->connections.has_room(0) || !this->connections.has_large_room(0);
    if (is_exceeded || !this->ordinary_waits.empty() ||
        !this->large_waits.empty())
    {
        this->schedule_review();
    }
}

void connection_registry::remove(connection_id connection)
{
    this->connections.remove(connection);
    this->owners.erase(connection);
    if (!this->ordinary_waits.empty() || !this->large_waits.empty())
    {
        this->schedule_review();
    }
}

bool connection_registry::acquire(connection_id connection,
                                  std::size_t bytes,
                                  bool is_large)
{
    return is_large ? this->acquire_large(connection, bytes)
                    : this->acquire_ordinary(connection, bytes);
}

bool connection_registry::acquire_ordinary(connection_id connection,
                                           std::size_t bytes)
{
    while (!this->connections.has_room(bytes))
    {
        auto const holder =
            this->connections.ordinary_holder(loop_now(), connection);
        if (!holder)
        {
            add_once(this->ordinary_waits, connection);
            return false;
        }
        this->give_up(*holder, client_limit::memory);
    }
    return true;
}

bool connection_registry::acquire_large(connection_id connection,
                                        std::size_t bytes)
{
    auto const now = loop_now();
    while (!this->connections.may_receive_large(connection, bytes, now))
    {
        bool const is_first = this->connections.first_large(now) == connection;
        auto const holder =
            is_first ? this->connections.large_holder(now, connection)
                     : std::nullopt;
        if (!holder)
        {
            add_once(this->large_waits, connection);
            return false;
        }
        this->give_up(*holder, client_limit::large_memory);
    }
    return true;
}

bool connection_registry::is_short() const
{
    return this->connections.is_short();
}

void connection_registry::review()
{
    if (!this->large_waits.empty())
    {
        while (auto const stalled =
                   this->connections.stalled_large_holder(loop_now()))
        {
            this->give_up(*stalled, client_limit::large_memory);
        }
    }
    this->resume_large();
    this->resume_ordinary();
}

void connection_registry::enforce()
{
    connection_id const none;
    auto const now = loop_now();
    while (!this->connections.has_room(0))
    {
        auto const holder = this->connections.ordinary_holder(now, none);
        if (!holder)
        {
            break;
        }
        this->give_up(*holder, client_limit::memory);
    }
    while (!this->connections.has_large_room(0))
    {
        auto const holder = this->connections.large_holder(now, none);
        if (!holder)
        {
            break;
        }
        this->give_up(*holder, client_limit::large_memory);
    }
}

void connection_registry::schedule_review()
{
    if (this->review_scheduled)
    {
        return;
    }
    this->review_scheduled = true;
    boost::asio::post(this->io,
                      [this]
                      {
                          this->review_scheduled = false;
                          this->enforce();
                          this->resume_large();
                          this->resume_ordinary();
                      });
}

void connection_registry::resume_ordinary()
{
    for (auto const waiting : std::exchange(this->ordinary_waits, {}))
    {
        this->resume(waiting);
    }
}

void connection_registry::resume_large()
{
    auto const first = this->connections.first_large(loop_now());
    for (auto const waiting : std::exchange(this->large_waits, {}))
    {
        // the others would find no room
        if (waiting == first || this->connections.has_half_large_room())
        {
            this->resume(waiting);
        }
        else
        {
            this->large_waits.push_back(waiting);
        }
    }
}

void connection_registry::resume(connection_id connection)
{
    auto const found = this->owners.find(connection);
    if (found == this->owners.end())
    {
        return;
    }
    if (auto const owner = found->second.lock())
    {
        owner->resume_reading();
    }
}

void connection_registry::give_up(connection_id connection, client_limit limit)
{
    this->record_limit(limit, this->connections.listener_of(connection));
    auto const found = this->owners.find(connection);
    if (auto const owner = found->second.lock())
    {
        owner->give_way(limit);
        return;
    }
    this->remove(connection);
}

void connection_registry::record_limit(client_limit limit,
                                       listener_kind listener) const
{
    this->observer(limit, listener);
}

connection_budget const & connection_registry::budget() const
{
    return this->connections;
}

} // namespace endivehinge::detail
