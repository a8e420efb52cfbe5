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

execution_log::execution_log(incarnation own_run, clock const & source)
    : table(own_run, node_limits())
    , time(source)
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
                                      duration patience)
{
    execution_report report;
    auto const has_ended = [this, &report, &try_id, addressed_incarnation]()
    {
        report = this->table.query_or_fence(
            try_id, addressed_incarnation, this->time.now());
        return report.state != execution_state::running;
    };
    absl::MutexLock lock(&this->mutex);
    this->mutex.AwaitWithTimeout(absl::Condition(&has_ended),
                                 absl::FromChrono(patience));
    return report;
}

} // namespace endivehinge::detail
