#include <endivehinge/coordination/in_flight_request_table.hpp>

namespace endivehinge
{

in_flight_request_table::in_flight_request_table(std::size_t history_limit)
    : max_history(history_limit)
{
}

bool in_flight_request_table::begin(std::string const & id)
{
    auto const found = this->states.find(id);
    if (found != this->states.end())
    {
        // fenced, or a duplicate of an earlier request
        return false;
    }
    this->states[id] = in_flight_request_state::in_progress;
    return true;
}

void in_flight_request_table::end(std::string const & id)
{
    auto const found = this->states.find(id);
    if (found != this->states.end() &&
        found->second == in_flight_request_state::in_progress)
    {
        this->record(id, in_flight_request_state::ended);
    }
}

in_flight_request_state in_flight_request_table::query(std::string const & id)
{
    auto const found = this->states.find(id);
    if (found != this->states.end())
    {
        return found->second;
    }
    this->record(id, in_flight_request_state::fenced);
    return in_flight_request_state::fenced;
}

std::size_t in_flight_request_table::size() const
{
    return this->states.size();
}

void in_flight_request_table::record(std::string const & id,
                                     in_flight_request_state state)
{
    this->states[id] = state;
    this->history.push_back(id);
    if (this->history.size() > this->max_history)
    {
        this->states.erase(this->history.front());
        this->history.pop_front();
    }
}

} // namespace endivehinge
