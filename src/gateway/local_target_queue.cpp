#include <endivehinge/detail/gateway/local_target.hpp>

#include <algorithm> // max
#include <utility>   // exchange, move

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{
namespace
{

// minimum delay of the queue timer, which prevents a busy loop
constexpr duration min_queue_delay = std::chrono::milliseconds(1);

} // namespace

// ---------------------------------------------------------------------------
// requests that wait for the target
// ---------------------------------------------------------------------------

void local_target::refuse(admission_ticket ticket,
                          target_admission_verdict const & verdict)
{
    auto const found = this->requests.find(ticket);
    if (found == this->requests.end())
    {
        return;
    }
    auto const state = found->second;
    this->requests.erase(found);
    dispatch_result result;
    result.outcome = dispatch_outcome::refused;
    result.reason = to_string(verdict.reason);
    result.refusal = verdict.reason;
    result.retry_after = verdict.retry_after;
    result.share_used = verdict.share_used;
    result.queue_time = loop_now() - state->queued_at;
    result.load = this->load();
    if (auto const done = std::exchange(state->done, nullptr))
    {
        done(std::move(result));
    }
}

void local_target::process_queue()
{
    for (auto const & verdict : this->admission.take_ready(loop_now()))
    {
        bool const is_start =
            verdict.decision == target_admission_verdict::action::start;
        if (is_start && this->rollout != nullptr &&
            this->rollout->is_excluded())
        {
            this->admission.cancel(verdict.ticket);
            auto closed = verdict;
            closed.reason = admission_refusal::closed;
            this->refuse(verdict.ticket, closed);
        }
        else if (is_start)
        {
            this->start(verdict.ticket);
        }
        else
        {
            this->refuse(verdict.ticket, verdict);
        }
    }
    if (this->admission.try_start_probe(loop_now()))
    {
        this->probe_slowdown();
    }
    this->check_cold();
    this->arm_queue_timer();
}

void local_target::arm_queue_timer()
{
    auto const next = this->admission.next_review(loop_now());
    if (!next)
    {
        return;
    }
    this->queue_timer.expires_at(std::chrono::steady_clock::time_point(
        std::max(*next, loop_now() + min_queue_delay)));
    this->queue_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                this->process_queue();
            }
        });
}

} // namespace endivehinge::detail
