#include <endivehinge/detail/gateway/response_registry.hpp>

#include <utility> // move

namespace endivehinge::detail
{

response_registry::response_registry(std::size_t limit)
    : memory(limit)
{
}

response_id response_registry::add(std::function<void()> give_up)
{
    auto const response = this->memory.next_id();
    this->actions[response] = std::move(give_up);
    return response;
}

void response_registry::resize(response_id response, std::size_t bytes)
{
    if (auto const excess = this->memory.resize(response, bytes))
    {
        // the action removes the response
        auto const give_up = this->actions.at(*excess);
        give_up();
    }
}

void response_registry::remove(response_id response)
{
    this->memory.release(response);
    this->actions.erase(response);
}

std::size_t response_registry::total() const
{
    return this->memory.total();
}

} // namespace endivehinge::detail
