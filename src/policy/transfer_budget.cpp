#include <endivehinge/policy/transfer_budget.hpp>

#include <algorithm> // min

namespace endivehinge
{
namespace
{

// bytes; a fifth of what the slowest known link (10 Mbit/s) carries
constexpr double bytes_per_second = 250'000;
// bytes; a longer response is sent if nothing was sent lately
constexpr double largest_burst = 250'000;
// bytes; changes of a few objects, which cost little to send
constexpr std::size_t small_response = 8192;

} // namespace

bool transfer_budget::try_spend(std::size_t bytes, time_point now)
{
    double const elapsed_seconds =
        to_milliseconds(now - this->last_refill) / 1000;
    this->last_refill = now;
    this->available = std::min(
        largest_burst, this->available + elapsed_seconds * bytes_per_second);
    if (bytes <= small_response)
    {
        return true;
    }
    auto const cost = static_cast<double>(bytes);
    if (this->available < std::min(cost, largest_burst))
    {
        return false;
    }
    this->available -= cost;
    return true;
}

} // namespace endivehinge
