#include <endivehinge/coordination/flight_table.hpp>

namespace endivehinge
{

flight_table::flight_table(std::size_t remembered)
    : remembered_flights(remembered)
{
}

bool flight_table::begin(std::string const & flight)
{
    auto const found = this->flights.find(flight);
    if (found != this->flights.end())
    {
        // fenced, or a copy of one that came before
        return false;
    }
    this->flights[flight] = flight_state::in_progress;
    return true;
}

void flight_table::end(std::string const & flight)
{
    auto const found = this->flights.find(flight);
    if (found != this->flights.end() &&
        found->second == flight_state::in_progress)
    {
        this->remember(flight, flight_state::ended);
    }
}

flight_state flight_table::query(std::string const & flight)
{
    auto const found = this->flights.find(flight);
    if (found != this->flights.end())
    {
        return found->second;
    }
    this->remember(flight, flight_state::fenced);
    return flight_state::fenced;
}

std::size_t flight_table::size() const
{
    return this->flights.size();
}

void flight_table::remember(std::string const & flight, flight_state state)
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
