#include <endivehinge/policy/crash_evidence.hpp>

#include <algorithm> // remove_if
#include <utility>   // exchange

namespace endivehinge
{
namespace
{

// from the loss of a connection to the first report of the next incarnation,
// which targets send on average every 1.5 s
constexpr duration max_evidence_age = std::chrono::seconds(3);
// more than the slots of any target; bounds memory
constexpr std::size_t max_requests = 256;

} // namespace

void crash_evidence::add(lost_request const & request)
{
    bool const is_outdated =
        !this->requests.empty() &&
        request.lost_at - this->requests.front().lost_at > max_evidence_age;
    if (is_outdated)
    {
        this->requests.clear();
    }
    bool const started_later =
        !this->requests.empty() &&
        request.started_at > this->requests.front().lost_at;
    if (!started_later && this->requests.size() < max_requests)
    {
        this->requests.push_back(request);
    }
}

void crash_evidence::clear()
{
    this->requests.clear();
}

std::vector<lost_request> crash_evidence::take(time_point now)
{
    auto taken = std::exchange(this->requests, {});
    taken.erase(std::remove_if(taken.begin(),
                               taken.end(),
                               [now](lost_request const & request)
                               {
                                   return now - request.lost_at >
                                          max_evidence_age;
                               }),
                taken.end());
    return taken;
}

} // namespace endivehinge
