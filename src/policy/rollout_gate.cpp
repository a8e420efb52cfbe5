#include <endivehinge/policy/rollout_gate.hpp>

#include <tuple> // tie

namespace endivehinge
{
namespace
{

bool is_concluded(rollout_state state)
{
    return state == rollout_state::completed ||
           state == rollout_state::rolled_back;
}

bool closes_old_targets(rollout_status const & status)
{
    return status.stage == rollout_stage::shifting && status.share >= 1;
}

} // namespace

rollout_gate::rollout_gate(incarnation own_process)
    : process(own_process)
{
}

void rollout_gate::set_version(software_version const & own_version)
{
    this->version = own_version;
}

void rollout_gate::set_allowed(bool allowed, bool sole)
{
    this->is_allowed = allowed;
    this->is_sole = sole;
    this->sole_since_order = this->sole_since_order && sole;
}

bool rollout_gate::set_entry(std::optional<rollout_entry> const & received)
{
    bool const is_first = !this->knows_store;
    this->knows_store = true;
    if (received && this->entry && received->version < this->entry->version)
    {
        return false;
    }
    bool const is_new_order =
        received &&
        (!this->entry ||
         received->order.target_version != this->entry->order.target_version ||
         (is_concluded(state_of(*this->entry)) &&
          !is_concluded(state_of(*received))));
    if (!received || is_new_order)
    {
        this->instruction.reset();
        this->accepted_count = 0;
        this->failure_count = 0;
    }
    if (is_new_order)
    {
        this->joined_running =
            is_first && state_of(*received) == rollout_state::running;
        this->sole_since_order = this->is_sole && !this->joined_running;
    }
    this->entry = received;
    return is_new_order;
}

bool rollout_gate::apply(rollout_instruction const & received)
{
    if (!this->entry || is_concluded(state_of(*this->entry)) ||
        received.service != this->entry->order.service ||
        received.target_version != this->entry->order.target_version)
    {
        return false;
    }
    if (state_of(*this->entry) == rollout_state::running &&
        received.term < this->entry->status->term)
    {
        return false;
    }
    if (this->instruction &&
        std::tie(received.term, received.sequence) <=
            std::tie(this->instruction->term, this->instruction->sequence))
    {
        return false;
    }
    this->instruction = received;
    return true;
}

bool rollout_gate::accepts(duration now) const
{
    if (!this->entry)
    {
        return this->is_allowed;
    }
    return this->is_new() ? this->accepts_as_new(now) : this->accepts_as_old();
}

bool rollout_gate::is_new() const
{
    return this->version == this->entry->order.target_version;
}

bool rollout_gate::accepts_as_new(duration now) const
{
    auto const state = state_of(*this->entry);
    if (is_concluded(state))
    {
        return state == rollout_state::completed;
    }
    if (this->sole_since_order)
    {
        return true;
    }
    if (!this->instruction || this->instruction->withdrawn)
    {
        return false;
    }
    auto const & grant = *this->instruction;
    if (state == rollout_state::running &&
        grant.term < this->entry->status->term)
    {
        return false;
    }
    return grant.holder == this->process && now < grant.expires_at &&
           this->accepted_count < grant.max_accepted &&
           this->failure_count < grant.max_failures;
}

bool rollout_gate::accepts_as_old() const
{
    auto const state = state_of(*this->entry);
    if (state == rollout_state::completed)
    {
        return false;
    }
    if (state != rollout_state::running)
    {
        return this->is_allowed;
    }
    auto const & status = *this->entry->status;
    if (!this->instruction || this->instruction->term < status.term)
    {
        // a process that joined late may have reported, before its restart,
        // that it is closed
        return this->is_allowed && !this->joined_running &&
               !closes_old_targets(status);
    }
    if (this->instruction->withdrawn)
    {
        return this->is_allowed;
    }
    bool const is_closed =
        this->instruction->old_closed ||
        (this->instruction->term == status.term && closes_old_targets(status));
    return this->is_allowed && !is_closed;
}

void rollout_gate::record_accepted()
{
    ++this->accepted_count;
}

void rollout_gate::record_failure()
{
    ++this->failure_count;
}

std::uint64_t rollout_gate::term() const
{
    return this->instruction ? this->instruction->term : 0;
}

std::uint64_t rollout_gate::sequence() const
{
    return this->instruction ? this->instruction->sequence : 0;
}

std::uint64_t rollout_gate::accepted() const
{
    return this->accepted_count;
}

} // namespace endivehinge
