#include <endivehinge/detail/node/quarantine_board.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr std::size_t most_news = 256;

} // namespace

quarantine_board::quarantine_board(clock const & source)
    : time(source)
    , outgoing(most_news)
{
}

quarantine_status quarantine_board::check(request_fingerprint request)
{
    absl::MutexLock lock(&this->mutex);
    return this->quarantine.check(request, this->time.now());
}

void quarantine_board::crashed(request_fingerprint request,
                               crash_id const & crash,
                               bool alone)
{
    absl::MutexLock lock(&this->mutex);
    // with the ring full the others learn by their own loss
    static_cast<void>(this->outgoing.try_push(
        this->quarantine.crashed(request, crash, alone, this->time.now())));
}

void quarantine_board::finished(request_fingerprint request)
{
    absl::MutexLock lock(&this->mutex);
    this->quarantine.finished(request);
}

void quarantine_board::merge(crash_report const & mark)
{
    absl::MutexLock lock(&this->mutex);
    this->quarantine.merge(mark, this->time.now());
}

bounded_queue<crash_report> & quarantine_board::news()
{
    return this->outgoing;
}

} // namespace endivehinge::detail
