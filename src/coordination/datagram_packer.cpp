#include <endivehinge/coordination/datagram_packer.hpp>

#include <algorithm> // any_of

namespace endivehinge
{
namespace
{

// a tag and a length
constexpr std::size_t field_header_bytes = 3;
constexpr std::size_t max_address_bytes = 16;
// incarnation, sequence, ports, slots, state, indices, with their tags
constexpr std::size_t record_number_bytes = 48;
// kind, sequence, configuration, ports, with their tags
constexpr std::size_t message_number_bytes = 40;
constexpr std::size_t digest_word_bytes = 4;

} // namespace

datagram_packer::datagram_packer(gossip_message & filled,
                                 std::size_t limit_bytes)
    : message(filled)
    , limit(limit_bytes)
    , used(message_number_bytes)
{
    this->used += field_header_bytes + filled.subject.value().size();
    this->used += field_header_bytes + max_address_bytes;
    this->used += field_header_bytes + filled.digest.size() * digest_word_bytes;
    if (filled.sender.about != nullptr)
    {
        this->used += this->cost(*filled.sender.about);
        this->remember(*filled.sender.about);
    }
    for (auto const & update : filled.updates)
    {
        this->used += this->cost(*update.about);
        this->remember(*update.about);
    }
}

bool datagram_packer::try_add(member_update const & update)
{
    std::size_t const added = this->cost(*update.about);
    if (this->used + added > this->limit)
    {
        return false;
    }
    this->used += added;
    this->remember(*update.about);
    this->message.updates.push_back(update);
    return true;
}

std::size_t datagram_packer::bytes() const
{
    return this->used;
}

std::size_t datagram_packer::cost(member const & about) const
{
    std::size_t sum = record_number_bytes;
    sum += field_header_bytes + about.name.value().size();
    bool const is_short_address =
        about.control_address.host.find(':') == std::string::npos;
    sum += is_short_address ? 0 : max_address_bytes;
    bool const has_two_hosts =
        about.control_address.host != about.peer_address.host;
    sum += has_two_hosts ? field_header_bytes + max_address_bytes : 0;
    for (auto const * text :
         {&about.service.value(), &about.domain.value(), &about.region.value()})
    {
        sum += this->knows(*text) ? 0 : field_header_bytes + text->size();
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

void datagram_packer::remember(member const & about)
{
    this->remember(about.service.value());
    this->remember(about.domain.value());
    this->remember(about.region.value());
}

} // namespace endivehinge
