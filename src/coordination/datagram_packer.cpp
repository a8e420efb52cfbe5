#include <endivehinge/coordination/datagram_packer.hpp>

#include <algorithm> // any_of
#include <cstdint>   // uint64_t

namespace endivehinge
{
namespace
{

constexpr std::size_t tag_bytes = 1;
constexpr std::size_t ipv4_bytes = 4;
constexpr std::size_t ipv6_bytes = 16;
// upper bound for the length, incarnation, state, three indexes into the list
// of names, two ports and a flag, with their tags
constexpr std::size_t record_fixed_bytes = 30;
// upper bound for the kind, sequence, configuration version and a port, with
// their tags
constexpr std::size_t message_fixed_bytes = 28;
constexpr std::size_t checksum_bytes = 4;

std::size_t varint_bytes(std::uint64_t value)
{
    std::size_t bytes = 1;
    for (; value >= 0x80U; value >>= 7U)
    {
        ++bytes;
    }
    return bytes;
}

std::size_t field_bytes(std::size_t size)
{
    return tag_bytes + varint_bytes(size) + size;
}

std::size_t host_bytes(std::string const & host)
{
    bool const is_ipv6 = host.find(':') != std::string::npos;
    return field_bytes(is_ipv6 ? ipv6_bytes : ipv4_bytes);
}

} // namespace

datagram_packer::datagram_packer(gossip_message & partial_message,
                                 std::size_t size_limit)
    : message(partial_message)
    , max_bytes(size_limit)
    , used_bytes(message_fixed_bytes)
{
    this->used_bytes += field_bytes(partial_message.subject.value().size());
    this->used_bytes += host_bytes(partial_message.subject_address.host);
    this->used_bytes +=
        field_bytes(partial_message.digest.size() * checksum_bytes);
    if (partial_message.sender.record != nullptr)
    {
        this->used_bytes += this->encoded_bytes(*partial_message.sender.record);
        this->add_shared_strings(*partial_message.sender.record);
    }
    for (auto const & update : partial_message.updates)
    {
        this->used_bytes += this->encoded_bytes(*update.record);
        this->add_shared_strings(*update.record);
    }
}

bool datagram_packer::try_add(member_update const & update)
{
    std::size_t const added_bytes = this->encoded_bytes(*update.record);
    if (this->used_bytes + added_bytes > this->max_bytes)
    {
        return false;
    }
    this->used_bytes += added_bytes;
    this->add_shared_strings(*update.record);
    this->message.updates.push_back(update);
    return true;
}

std::size_t datagram_packer::bytes() const
{
    return this->used_bytes;
}

std::size_t datagram_packer::encoded_bytes(member const & record) const
{
    std::size_t total = record_fixed_bytes;
    total += field_bytes(record.name.value().size());
    total += tag_bytes + varint_bytes(record.sequence);
    total += tag_bytes + varint_bytes(record.slots);
    total += host_bytes(record.control_address.host);
    if (record.control_address.host != record.peer_address.host)
    {
        total += host_bytes(record.peer_address.host);
    }
    for (auto const * text : {&record.service.value(),
                              &record.domain.value(),
                              &record.region.value()})
    {
        total += this->has_shared_string(*text) ? 0 : field_bytes(text->size());
    }
    return total;
}

bool datagram_packer::has_shared_string(std::string const & text) const
{
    return std::any_of(this->shared_strings.begin(),
                       this->shared_strings.end(),
                       [&text](std::string const * shared_string)
                       {
                           return *shared_string == text;
                       });
}

void datagram_packer::add_shared_strings(std::string const & text)
{
    if (!this->has_shared_string(text))
    {
        this->shared_strings.push_back(&text);
    }
}

void datagram_packer::add_shared_strings(member const & record)
{
    this->add_shared_strings(record.service.value());
    this->add_shared_strings(record.domain.value());
    this->add_shared_strings(record.region.value());
}

} // namespace endivehinge
