#include <endivehinge/coordination/datagram_packer.hpp>

#include <algorithm> // any_of
#include <cstdint>   // uint64_t

namespace endivehinge
{
namespace
{

constexpr std::size_t tag_bytes = 1;
constexpr std::size_t address_bytes = 4;
constexpr std::size_t long_address_bytes = 16;
// length, incarnation, state, three places in the list of names, two ports
// and a flag, with their tags
constexpr std::size_t record_number_bytes = 30;
// kind, sequence, configuration and a port, with their tags
constexpr std::size_t message_number_bytes = 28;
constexpr std::size_t digest_word_bytes = 4;

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
    bool const is_long = host.find(':') != std::string::npos;
    return field_bytes(is_long ? long_address_bytes : address_bytes);
}

} // namespace

datagram_packer::datagram_packer(gossip_message & filled,
                                 std::size_t limit_bytes)
    : message(filled)
    , limit(limit_bytes)
    , used(message_number_bytes)
{
    this->used += field_bytes(filled.subject.value().size());
    this->used += host_bytes(filled.subject_address.host);
    this->used += field_bytes(filled.digest.size() * digest_word_bytes);
    if (filled.sender.record != nullptr)
    {
        this->used += this->cost(*filled.sender.record);
        this->remember(*filled.sender.record);
    }
    for (auto const & update : filled.updates)
    {
        this->used += this->cost(*update.record);
        this->remember(*update.record);
    }
}

bool datagram_packer::try_add(member_update const & update)
{
    std::size_t const added = this->cost(*update.record);
    if (this->used + added > this->limit)
    {
        return false;
    }
    this->used += added;
    this->remember(*update.record);
    this->message.updates.push_back(update);
    return true;
}

std::size_t datagram_packer::bytes() const
{
    return this->used;
}

std::size_t datagram_packer::cost(member const & record) const
{
    std::size_t sum = record_number_bytes;
    sum += field_bytes(record.name.value().size());
    sum += tag_bytes + varint_bytes(record.sequence);
    sum += tag_bytes + varint_bytes(record.slots);
    sum += host_bytes(record.control_address.host);
    if (record.control_address.host != record.peer_address.host)
    {
        sum += host_bytes(record.peer_address.host);
    }
    for (auto const * text : {&record.service.value(),
                              &record.domain.value(),
                              &record.region.value()})
    {
        sum += this->knows(*text) ? 0 : field_bytes(text->size());
    }
    return sum;
}

bool datagram_packer::knows(std::string const & text) const
{
    return std::any_of(this->shared.begin(),
                       this->shared.end(),
                       [&text](std::string const * known)
                       {
                           return *known == text;
                       });
}

void datagram_packer::remember(std::string const & text)
{
    if (!this->knows(text))
    {
        this->shared.push_back(&text);
    }
}

void datagram_packer::remember(member const & record)
{
    this->remember(record.service.value());
    this->remember(record.domain.value());
    this->remember(record.region.value());
}

} // namespace endivehinge
