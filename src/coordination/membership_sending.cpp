#include <algorithm> // min
#include <cmath>     // ceil, log10
#include <utility>   // move

#include <absl/random/distributions.h> // Uniform

#include <endivehinge/coordination/membership.hpp>

namespace endivehinge
{
namespace
{

constexpr int random_tries = 16;

} // namespace

gossip_message membership::make_message(gossip_kind kind) const
{
    gossip_message message;
    message.kind = kind;
    message.sender = this->own;
    message.configuration = this->configuration;
    return message;
}

void membership::fill_updates(gossip_message & message,
                              member_update const * first)
{
    std::size_t const bare = datagram_packer(message, 0).bytes();
    std::size_t const allowed =
        std::min(max_datagram_bytes, bare + this->gossip_budget.available());
    if (first != nullptr)
    {
        // a member that is doubted must hear of it, whatever it costs
        message.updates.push_back(*first);
    }
    datagram_packer packer(message, allowed);
    this->news.pack(packer, this->max_transmissions());
    this->gossip_budget.spend(packer.bytes() - bare);
}

void membership::send(endpoint const & to, gossip_message message)
{
    this->outbox.push_back({to, std::move(message)});
}

void membership::send_with_updates(endpoint const & to,
                                   gossip_message message,
                                   member_update const * first)
{
    this->fill_updates(message, first);
    this->send(to, std::move(message));
}

void membership::announce_to_some(absl::BitGenRef random)
{
    for (std::size_t i = 0; i < this->options.announcement_fanout; ++i)
    {
        if (auto const chosen = this->random_member(random))
        {
            this->send(this->table.at(*chosen).record->control_address,
                       this->make_message(gossip_kind::announcement));
        }
    }
}

std::size_t membership::max_transmissions() const
{
    double const members = static_cast<double>(this->table.present()) + 2;
    return static_cast<std::size_t>(
        std::ceil(this->options.retransmission_factor * std::log10(members)));
}

std::optional<member_index>
membership::random_member(absl::BitGenRef random) const
{
    std::size_t const places = this->table.places();
    if (this->table.present() == 0)
    {
        return std::nullopt;
    }
    auto const is_reachable = [this](std::size_t index)
    {
        member_entry const & entry =
            this->table.at(static_cast<member_index>(index));
        return entry.present() && !entry.unreachable;
    };
    for (int i = 0; i < random_tries; ++i)
    {
        auto const index = absl::Uniform<std::size_t>(random, 0, places);
        if (is_reachable(index))
        {
            return static_cast<member_index>(index);
        }
    }
    auto const first = absl::Uniform<std::size_t>(random, 0, places);
    for (std::size_t i = 0; i < places; ++i)
    {
        if (is_reachable((first + i) % places))
        {
            return static_cast<member_index>((first + i) % places);
        }
    }
    return std::nullopt;
}

member_update membership::update_of(member_index index) const
{
    member_entry const & entry = this->table.at(index);
    return {entry.record, entry.state};
}

} // namespace endivehinge
