#include <algorithm> // max
#include <utility>   // move

#include <absl/random/distributions.h> // Bernoulli, Uniform

#include <endivehinge/coordination/membership.hpp>

namespace endivehinge
{
namespace
{

// how often a node that joins turns to a contact rather than to a member
constexpr double contact_share = 0.25;
// joining ends when a request brought less than this share of news
constexpr std::size_t settled_divisor = 100;

} // namespace

void membership::synchronize(time_point now, absl::BitGenRef random)
{
    if (now < this->next_sync)
    {
        return;
    }
    bool const is_settled =
        this->sync_answered &&
        this->learned <= this->table.present() / settled_divisor;
    if (this->joining && is_settled)
    {
        this->joining = false;
    }
    bool const is_behind =
        this->learned > 1 + this->table.present() / settled_divisor;
    this->learned = 0;
    this->sync_answered = false;
    auto const chosen = this->random_member(random);
    auto const contact = this->contact_to_ask(random);
    bool const is_hurried = this->joining || is_behind || !chosen.has_value();
    duration const interval =
        is_hurried ? this->options.join_interval : this->options.sync_interval;
    double const jitter = absl::Uniform(random, 0.75, 1.25);
    this->next_sync =
        now + std::chrono::duration_cast<duration>(interval * jitter);
    bool const ask_contact =
        contact.has_value() && (!chosen.has_value() || !this->joining ||
                                absl::Bernoulli(random, contact_share));
    if (ask_contact)
    {
        this->request_sync(*contact, gossip_kind::sync_request);
    }
    else if (chosen.has_value())
    {
        this->request_sync(this->table.at(*chosen).record->control_address,
                           gossip_kind::sync_request);
    }
}

std::optional<endpoint> membership::contact_to_ask(absl::BitGenRef random) const
{
    if (this->contacts.empty())
    {
        return std::nullopt;
    }
    auto const index =
        absl::Uniform<std::size_t>(random, 0, this->contacts.size());
    endpoint const & contact = this->contacts[index];
    for (member_index i = 0; i < this->table.places(); ++i)
    {
        member_entry const & entry = this->table.at(i);
        if (entry.present() && entry.record->control_address == contact)
        {
            return std::nullopt;
        }
    }
    // groups that formed apart, as after a mass restart, meet through it
    return contact;
}

void membership::request_sync(endpoint const & to, gossip_kind kind)
{
    gossip_message message = this->make_message(kind);
    message.digest = this->own_digest().words();
    this->send(to, std::move(message));
}

member_digest membership::own_digest() const
{
    // both sides count themselves as the other does
    member_digest digest = this->table.digest();
    digest.toggle(*this->own.record);
    return digest;
}

void membership::on_sync_request(gossip_message const & message,
                                 endpoint const & from,
                                 absl::BitGenRef random)
{
    if (this->sync_budget.available() < max_datagram_bytes)
    {
        // the other asks again, and somebody else
        return;
    }
    auto const buckets = this->own_digest().differing(message.digest);
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
        this->request_sync(from, gossip_kind::sync_return);
    }
}

void membership::send_records(std::vector<std::size_t> const & buckets,
                              endpoint const & to,
                              absl::BitGenRef random)
{
    std::vector<bool> wanted(member_digest::buckets, false);
    for (std::size_t const bucket : buckets)
    {
        wanted[bucket] = true;
    }
    std::size_t const places = this->table.places();
    std::size_t const first =
        places == 0 ? 0 : absl::Uniform<std::size_t>(random, 0, places);
    gossip_message message = this->make_message(gossip_kind::sync_response);
    auto packer =
        std::make_unique<datagram_packer>(message, max_datagram_bytes);
    std::size_t sent = 0;
    for (std::size_t i = 0; i < places; ++i)
    {
        auto const index = static_cast<member_index>((first + i) % places);
        member_update const update = this->update_of(index);
        if (update.record == nullptr ||
            !wanted[member_digest::bucket_of(update.record->name)] ||
            packer->try_add(update))
        {
            continue;
        }
        this->sync_budget.spend(packer->bytes());
        this->send(to, std::move(message));
        message = this->make_message(gossip_kind::sync_response);
        packer = std::make_unique<datagram_packer>(message, max_datagram_bytes);
        ++sent;
        if (sent >= this->options.sync_datagrams ||
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
    this->sync_answered = true;
    // a node that joins hears nothing that others do not know
    this->apply_all(message, now, !this->joining);
}

} // namespace endivehinge
