#include <endivehinge/coordination/execution_table.hpp>

#include <utility> // move

#include <endivehinge/coordination/outcome_size.hpp>

namespace endivehinge
{
namespace
{

std::shared_ptr<outcome const> without_answer()
{
    return std::make_shared<outcome const>(
        outcome::indeterminate({failure_id::outcome_unknown,
                                "query outcome",
                                {},
                                "it ran; its answer is no longer kept"}));
}

} // namespace

execution_table::execution_table(incarnation run,
                                 execution_limits const & bounds)
    : own_run(run)
    , limits(bounds)
    , forgotten(bounds.max_tracked_senders)
{
}

execution_report execution_table::begin(request_id const & id, time_point now)
{
    this->expire(now);
    if (auto const found = this->records.find(id); found != this->records.end())
    {
        return {found->second.state, found->second.result};
    }
    if (this->forgotten.may_contain(id))
    {
        return {execution_state::indeterminate, nullptr};
    }
    if (!this->make_room())
    {
        return {execution_state::full, nullptr};
    }
    this->records.emplace(id, record());
    return {execution_state::started, nullptr};
}

void execution_table::finish(request_id const & id,
                             outcome result,
                             time_point now)
{
    auto const found = this->records.find(id);
    if (found == this->records.end() ||
        found->second.state != execution_state::running)
    {
        return;
    }
    record & ending_record = found->second;
    ending_record.state = execution_state::finished;
    ending_record.bytes = size_in_bytes(result);
    ending_record.result = std::make_shared<outcome const>(std::move(result));
    this->kept_bytes += ending_record.bytes;
    this->ended.push_back({id, now});
    this->answered.push_back(id);
    this->drop_answers();
    this->expire(now);
}

execution_report execution_table::query_or_fence(request_id const & id,
                                                 incarnation sent_to,
                                                 time_point now)
{
    this->expire(now);
    if (auto const found = this->records.find(id); found != this->records.end())
    {
        return {found->second.state, found->second.result};
    }
    if (sent_to != this->own_run || this->forgotten.may_contain(id) ||
        !this->make_room())
    {
        return {execution_state::indeterminate, nullptr};
    }
    record fence;
    fence.state = execution_state::fenced;
    this->records.emplace(id, std::move(fence));
    this->ended.push_back({id, now});
    return {execution_state::fenced, nullptr};
}

std::size_t execution_table::size() const
{
    return this->records.size();
}

std::size_t execution_table::answer_bytes() const
{
    return this->kept_bytes;
}

void execution_table::expire(time_point now)
{
    while (!this->ended.empty() &&
           now - this->ended.front().when >= this->limits.retention)
    {
        this->drop_first_ended();
    }
}

bool execution_table::make_room()
{
    if (this->records.size() >= this->limits.records && !this->ended.empty())
    {
        this->drop_first_ended();
    }
    return this->records.size() < this->limits.records;
}

void execution_table::drop_first_ended()
{
    request_id const id = std::move(this->ended.front().id);
    this->ended.pop_front();
    if (!this->answered.empty() && this->answered.front() == id)
    {
        this->answered.pop_front();
    }
    auto const found = this->records.find(id);
    this->kept_bytes -= found->second.bytes;
    this->records.erase(found);
    this->forgotten.add(id);
}

void execution_table::drop_answers()
{
    while (this->kept_bytes > this->limits.answer_bytes)
    {
        record & oldest = this->records.at(this->answered.front());
        this->answered.pop_front();
        this->kept_bytes -= oldest.bytes;
        oldest.bytes = 0;
        // a refusal without its text is as true as with it
        if (oldest.result->kind != outcome_kind::rejected)
        {
            oldest.result = without_answer();
        }
        else
        {
            oldest.result = std::make_shared<outcome const>(
                outcome::rejected({oldest.result->reason.id, {}, {}, {}},
                                  oldest.result->retry_after));
        }
    }
}

} // namespace endivehinge
