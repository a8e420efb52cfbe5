#include <endivehinge/detail/node/execution_log.hpp>

#include <absl/time/time.h> // FromChrono

namespace endivehinge::detail
{
namespace
{

execution_limits node_limits()
{
    execution_limits limits;
    limits.records = 16384;
    limits.answer_bytes = std::size_t{8} * 1024 * 1024;
    limits.retention = std::chrono::seconds(60);
    return limits;
}

} // namespace

execution_log::execution_log(incarnation own_incarnation,
                             clock const & clock_source)
    : table(own_incarnation, node_limits())
    , time(clock_source)
{
}

execution_report execution_log::begin(request_id const & try_id)
{
    absl::MutexLock lock(&this->mutex);
    return this->table.begin(try_id, this->time.now());
}

void execution_log::finish(request_id const & try_id, outcome const & result)
{
    absl::MutexLock lock(&this->mutex);
    this->table.finish(try_id, result, this->time.now());
}

execution_report execution_log::query(request_id const & try_id,
                                      incarnation addressed_incarnation,
                                      duration wait_limit)
{
    execution_report report;
    auto const is_finished = [this, &report, &try_id, addressed_incarnation]()
    {
        report = this->table.query_or_fence(
            try_id, addressed_incarnation, this->time.now());
        return report.state != execution_state::running;
    };
    absl::MutexLock lock(&this->mutex);
    this->mutex.AwaitWithTimeout(absl::Condition(&is_finished),
                                 absl::FromChrono(wait_limit));
    return report;
}

} // namespace endivehinge::detail
