#include <endivehinge/detail/gateway/response_memory.hpp>

#include <algorithm> // max_element

namespace endivehinge::detail
{

response_memory::response_memory(std::size_t limit)
    : max_bytes(limit)
{
}

response_id response_memory::next_id()
{
    return response_id(++this->last_id);
}

std::optional<response_id> response_memory::resize(response_id response,
                                                   std::size_t bytes)
{
    auto & size = this->sizes[response];
    this->sum += bytes - size;
    size = bytes;
    if (this->sum <= this->max_bytes)
    {
        return std::nullopt;
    }
    auto const largest = std::max_element(this->sizes.begin(),
                                          this->sizes.end(),
                                          [](auto const & a, auto const & b)
                                          {
                                              return a.second < b.second;
                                          });
    return largest->first;
}

void response_memory::release(response_id response)
{
    if (auto const found = this->sizes.find(response);
        found != this->sizes.end())
    {
        this->sum -= found->second;
        this->sizes.erase(found);
    }
}

std::size_t response_memory::total() const
{
    return this->sum;
}

} // namespace endivehinge::detail
