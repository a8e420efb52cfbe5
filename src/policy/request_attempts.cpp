#include <endivehinge/policy/request_attempts.hpp>

#include <algorithm> // any_of, count_if

namespace endivehinge
{

std::size_t request_attempts::start()
{
    this->attempts.push_back({});
    return this->attempts.size() - 1;
}

void request_attempts::record_silence(std::size_t index)
{
    this->attempts[index].arrived = true;
    this->attempts[index].silent = true;
}

void request_attempts::record_refusal(std::size_t index, bool arrived)
{
    this->attempts[index] = {state::refused, arrived, false};
}

void request_attempts::record_answer(std::size_t index)
{
    this->attempts[index] = {state::answered, true, false};
}

void request_attempts::record_unknown_outcome(std::size_t index, bool arrived)
{
    bool const may_have_arrived = arrived || this->attempts[index].silent;
    this->attempts[index] = {state::unknown, may_have_arrived, false};
}

bool request_attempts::any_running() const
{
    return std::any_of(this->attempts.begin(),
                       this->attempts.end(),
                       [](attempt const & entry)
                       {
                           return entry.current == state::running;
                       });
}

bool request_attempts::any_confirmed() const
{
    return std::any_of(this->attempts.begin(),
                       this->attempts.end(),
                       [](attempt const & entry)
                       {
                           return entry.current == state::running &&
                                  !entry.silent;
                       });
}

bool request_attempts::may_have_run() const
{
    return std::any_of(this->attempts.begin(),
                       this->attempts.end(),
                       [](attempt const & entry)
                       {
                           return entry.current != state::refused;
                       });
}

std::uint32_t request_attempts::possible_arrivals() const
{
    return static_cast<std::uint32_t>(std::count_if(
        this->attempts.begin(),
        this->attempts.end(),
        [](attempt const & entry)
        {
            return entry.arrived || entry.current == state::running;
        }));
}

std::size_t request_attempts::running_count() const
{
    return static_cast<std::size_t>(std::count_if(this->attempts.begin(),
                                                  this->attempts.end(),
                                                  [](attempt const & entry)
                                                  {
                                                      return entry.current ==
                                                             state::running;
                                                  }));
}

std::uint32_t request_attempts::arrivals() const
{
    return static_cast<std::uint32_t>(std::count_if(this->attempts.begin(),
                                                    this->attempts.end(),
                                                    [](attempt const & entry)
                                                    {
                                                        return entry.arrived;
                                                    }));
}

} // namespace endivehinge
