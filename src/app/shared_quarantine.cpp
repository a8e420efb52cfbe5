#include <endivehinge/detail/node/shared_quarantine.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr std::size_t max_pending_reports = 256;

} // namespace

shared_quarantine::shared_quarantine(clock const & time_source)
    : time(time_source)
    , report_queue(max_pending_reports)
{
}

quarantine_status shared_quarantine::check(request_fingerprint request)
{
    absl::MutexLock lock(&this->mutex);
    return this->quarantine.check(request, this->time.now());
}

void shared_quarantine::crashed(request_fingerprint request,
                                crash_id const & crash,
                                bool isolated)
{
    absl::MutexLock lock(&this->mutex);
    // With the queue full the report is dropped; other nodes then detect the
    // request only when their own targets crash on it.
    static_cast<void>(this->report_queue.try_push(
        this->quarantine.crashed(request, crash, isolated, this->time.now())));
}

void shared_quarantine::finished(request_fingerprint request)
{
    absl::MutexLock lock(&this->mutex);
    this->quarantine.finished(request);
}

void shared_quarantine::merge(crash_report const & mark)
{
    absl::MutexLock lock(&this->mutex);
    this->quarantine.merge(mark, this->time.now());
}

bounded_queue<crash_report> & shared_quarantine::pending_reports()
{
    return this->report_queue;
}

} // namespace endivehinge::detail
