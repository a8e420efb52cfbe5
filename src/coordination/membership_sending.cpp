#include <algorithm> // min
#include <cmath>     // ceil, log10
#include <utility>   // move

#include <absl/random/distributions.h> // Uniform

#include <endivehinge/coordination/membership.hpp>

namespace endivehinge
{
namespace
{

constexpr int random_attempts = 16;

} // namespace

gossip_message membership::make_message(gossip_kind kind) const
{
    gossip_message message;
    message.kind = kind;
    message.sender = this->own_update;
    message.configuration = this->configuration;
    return message;
}

void membership::add_updates(gossip_message & message,
                             member_update const * mandatory_update)
{
    std::size_t const base_bytes = datagram_packer(message, 0).bytes();
    std::size_t const max_bytes = std::min(
        max_datagram_bytes, base_bytes + this->gossip_budget.available());
    if (mandatory_update != nullptr)
    {
        // A member must learn that it is suspected or considered dead, even if
        // the byte budget is exhausted.
        message.updates.push_back(*mandatory_update);
    }
    datagram_packer packer(message, max_bytes);
    this->pending_updates.pack(packer, this->max_transmissions());
    this->gossip_budget.spend(packer.bytes() - base_bytes);
}

void membership::send(endpoint const & to, gossip_message message)
{
    this->outbox.push_back({to, std::move(message)});
}

void membership::send_with_updates(endpoint const & to,
                                   gossip_message message,
                                   member_update const * mandatory_update)
{
    this->add_updates(message, mandatory_update);
    this->send(to, std::move(message));
}

void membership::announce_to_random_members(absl::BitGenRef random)
{
    for (std::size_t i = 0; i < this->options.announcement_fanout; ++i)
    {
        if (auto const receiver = this->random_member(random))
        {
            this->send(this->table.at(*receiver).record->control_address,
                       this->make_message(gossip_kind::announcement));
        }
    }
}

std::size_t membership::max_transmissions() const
{
    double const members = static_cast<double>(this->table.active_count()) + 2;
    return static_cast<std::size_t>(
        std::ceil(this->options.retransmission_factor * std::log10(members)));
}

std::optional<member_index>
membership::random_member(absl::BitGenRef random) const
{
    std::size_t const index_count = this->table.index_count();
    if (this->table.active_count() == 0)
    {
        return std::nullopt;
    }
    auto const is_reachable = [this](std::size_t index)
    {
        member_entry const & entry =
            this->table.at(static_cast<member_index>(index));
        return entry.is_active() && !entry.unreachable;
    };
    for (int i = 0; i < random_attempts; ++i)
    {
        auto const index = absl::Uniform<std::size_t>(random, 0, index_count);
        if (is_reachable(index))
        {
            return static_cast<member_index>(index);
        }
    }
    auto const start = absl::Uniform<std::size_t>(random, 0, index_count);
    for (std::size_t i = 0; i < index_count; ++i)
    {
        if (is_reachable((start + i) % index_count))
        {
            return static_cast<member_index>((start + i) % index_count);
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
