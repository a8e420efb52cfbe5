#include <algorithm> // max
#include <utility>   // move

#include <absl/random/distributions.h> // Bernoulli, Uniform

#include <endivehinge/coordination/membership.hpp>

namespace endivehinge
{
namespace
{

// probability that a joining node synchronizes with a contact rather than with
// a member
constexpr double contact_probability = 0.25;
// joining ends when a synchronization updated at most 1 / convergence_divisor
// of the members
constexpr std::size_t convergence_divisor = 100;

} // namespace

void membership::synchronize(time_point now, absl::BitGenRef random)
{
    if (now < this->next_sync)
    {
        return;
    }
    bool const has_converged =
        this->sync_response_received &&
        this->updates_applied <=
            this->table.active_count() / convergence_divisor;
    if (this->joining && has_converged)
    {
        this->joining = false;
    }
    bool const is_far_behind =
        this->updates_applied >
        1 + this->table.active_count() / convergence_divisor;
    this->updates_applied = 0;
    this->sync_response_received = false;
    auto const sync_member = this->random_member(random);
    auto const contact = this->choose_sync_contact(random);
    bool const use_join_interval =
        this->joining || is_far_behind || !sync_member.has_value();
    duration const interval = use_join_interval ? this->options.join_interval
                                                : this->options.sync_interval;
    double const jitter = absl::Uniform(random, 0.75, 1.25);
    this->next_sync =
        now + std::chrono::duration_cast<duration>(interval * jitter);
    bool const sync_with_contact =
        contact.has_value() && (!sync_member.has_value() || !this->joining ||
                                absl::Bernoulli(random, contact_probability));
    if (sync_with_contact)
    {
        this->request_sync(*contact, gossip_kind::sync_request);
    }
    else if (sync_member.has_value())
    {
        this->request_sync(this->table.at(*sync_member).record->control_address,
                           gossip_kind::sync_request);
    }
}

std::optional<endpoint>
membership::choose_sync_contact(absl::BitGenRef random) const
{
    if (this->contacts.empty())
    {
        return std::nullopt;
    }
    auto const index =
        absl::Uniform<std::size_t>(random, 0, this->contacts.size());
    endpoint const & contact = this->contacts[index];
    for (member_index i = 0; i < this->table.index_count(); ++i)
    {
        member_entry const & entry = this->table.at(i);
        if (entry.is_active() && entry.record->control_address == contact)
        {
            return std::nullopt;
        }
    }
    // Separate groups, as they may form after a mass restart, merge through a
    // contact that is not yet a member.
    return contact;
}

void membership::request_sync(endpoint const & to, gossip_kind kind)
{
    gossip_message message = this->make_message(kind);
    message.digest = this->local_digest().checksums();
    this->send(to, std::move(message));
}

member_digest membership::local_digest() const
{
    // The table contains only other members; adding this node makes the digests
    // of both sides comparable.
    member_digest digest = this->table.digest();
    digest.toggle(*this->own_update.record);
    return digest;
}

void membership::on_sync_request(gossip_message const & message,
                                 endpoint const & from,
                                 absl::BitGenRef random)
{
    if (this->sync_budget.available() < max_datagram_bytes)
    {
        // the sender will retry with another member
        return;
    }
    auto const buckets = this->local_digest().differing_buckets(message.digest);
    if (buckets.empty())
    {
        this->send(from, this->make_message(gossip_kind::sync_confirmation));
        return;
    }
    this->send_records(buckets, from, random);
    if (message.kind == gossip_kind::sync_request &&
        this->sync_budget.available() >= max_datagram_bytes)
    {
        this->sync_budget.spend(max_datagram_bytes);
        this->request_sync(from, gossip_kind::sync_reverse_request);
    }
}

void membership::send_records(std::vector<std::size_t> const & buckets,
                              endpoint const & to,
                              absl::BitGenRef random)
{
    std::vector<bool> selected(member_digest::bucket_count, false);
    for (std::size_t const bucket : buckets)
    {
        selected[bucket] = true;
    }
    std::size_t const index_count = this->table.index_count();
    std::size_t const first =
        index_count == 0 ? 0
                         : absl::Uniform<std::size_t>(random, 0, index_count);
    gossip_message message = this->make_message(gossip_kind::sync_response);
    auto packer =
        std::make_unique<datagram_packer>(message, max_datagram_bytes);
    std::size_t sent_datagrams = 0;
    for (std::size_t i = 0; i < index_count; ++i)
    {
        auto const index = static_cast<member_index>((first + i) % index_count);
        member_update const update = this->update_of(index);
        if (update.record == nullptr ||
            !selected[member_digest::bucket_of(update.record->name)] ||
            packer->try_add(update))
        {
            continue;
        }
        this->sync_budget.spend(packer->bytes());
        this->send(to, std::move(message));
        message = this->make_message(gossip_kind::sync_response);
        packer = std::make_unique<datagram_packer>(message, max_datagram_bytes);
        ++sent_datagrams;
        if (sent_datagrams >= this->options.sync_datagrams ||
            this->sync_budget.available() < max_datagram_bytes)
        {
            return;
        }
        static_cast<void>(packer->try_add(update));
    }
    this->sync_budget.spend(packer->bytes());
    this->send(to, std::move(message));
}

void membership::on_sync_response(gossip_message const & message,
                                  time_point now)
{
    this->sync_response_received = true;
    // updates received while joining are already known to the other members
    this->apply_updates(message, now, !this->joining);
}

} // namespace endivehinge
