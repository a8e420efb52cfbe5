#include <endivehinge/coordination/in_flight_request_table.hpp>

namespace endivehinge
{

in_flight_request_table::in_flight_request_table(std::size_t remembered)
    : remembered_flights(remembered)
{
}

bool in_flight_request_table::begin(std::string const & flight)
{
    auto const found = this->flights.find(flight);
    if (found != this->flights.end())
    {
        // fenced, or a copy of one that came before
        return false;
    }
    this->flights[flight] = in_flight_request_state::in_progress;
    return true;
}

void in_flight_request_table::end(std::string const & flight)
{
    auto const found = this->flights.find(flight);
    if (found != this->flights.end() &&
        found->second == in_flight_request_state::in_progress)
    {
        this->remember(flight, in_flight_request_state::ended);
    }
}

in_flight_request_state
in_flight_request_table::query(std::string const & flight)
{
    auto const found = this->flights.find(flight);
    if (found != this->flights.end())
    {
        return found->second;
    }
    this->remember(flight, in_flight_request_state::fenced);
    return in_flight_request_state::fenced;
}

std::size_t in_flight_request_table::size() const
{
    return this->flights.size();
}

void in_flight_request_table::remember(std::string const & flight,
                                       in_flight_request_state state)
{
    this->flights[flight] = state;
    this->order.push_back(flight);
    if (this->order.size() > this->remembered_flights)
    {
        this->flights.erase(this->order.front());
        this->order.pop_front();
    }
}

} // namespace endivehinge
