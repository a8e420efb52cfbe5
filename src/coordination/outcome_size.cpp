#include <endivehinge/coordination/outcome_size.hpp>

namespace endivehinge
{

std::size_t size_in_bytes(outcome const & stored)
{
    std::size_t bytes = stored.answer.body.size() + stored.reason.step.size() +
                        stored.reason.peer.size() + stored.reason.detail.size();
    for (auto const & field : stored.answer.headers.all())
    {
        bytes += field.name.size() + field.value.size();
    }
    return bytes;
}

} // namespace endivehinge
