#include <endivehinge/detail/gateway/message_memory.hpp>

namespace endivehinge::detail
{

namespace
{

// of the element of a field, its links in the list and the set of fields, and
// the allocation; a field of three bytes takes thirty times its size
constexpr std::size_t field_overhead_bytes = 96;
// the start line and the message object
constexpr std::size_t message_overhead_bytes = 512;

} // namespace

std::size_t memory_of(header_fields const & fields)
{
    std::size_t sum = message_overhead_bytes;
    for (auto const & field : fields)
    {
        sum += field.name_string().size() + field.value().size() +
               field_overhead_bytes;
    }
    return sum;
}

} // namespace endivehinge::detail
