#include <endivehinge/coordination/outcome_size.hpp>

namespace endivehinge
{

std::size_t size_in_bytes(outcome const & kept)
{
    std::size_t bytes = kept.answer.body.size() + kept.reason.step.size() +
                        kept.reason.peer.size() + kept.reason.detail.size();
    for (auto const & field : kept.answer.headers.all())
    {
        bytes += field.name.size() + field.value.size();
    }
    return bytes;
}

} // namespace endivehinge
