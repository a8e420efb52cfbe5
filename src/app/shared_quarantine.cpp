#include <endivehinge/detail/node/shared_quarantine.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr std::size_t most_news = 256;

} // namespace

shared_quarantine::shared_quarantine(clock const & source)
    : time(source)
    , outgoing(most_news)
{
}

quarantine_report shared_quarantine::check(request_fingerprint request)
{
    absl::MutexLock lock(&this->mutex);
    return this->quarantine.check(request, this->time.now());
}

void shared_quarantine::crashed(request_fingerprint request,
                                crash_id const & crash,
                                bool alone)
{
    absl::MutexLock lock(&this->mutex);
    // with the ring full the others learn by their own loss
    static_cast<void>(this->outgoing.try_push(
        this->quarantine.crashed(request, crash, alone, this->time.now())));
}

void shared_quarantine::finished(request_fingerprint request)
{
    absl::MutexLock lock(&this->mutex);
    this->quarantine.finished(request);
}

void shared_quarantine::merge(crash_mark const & mark)
{
    absl::MutexLock lock(&this->mutex);
    this->quarantine.merge(mark, this->time.now());
}

bounded_ring<crash_mark> & shared_quarantine::pending_reports()
{
    return this->outgoing;
}

} // namespace endivehinge::detail
