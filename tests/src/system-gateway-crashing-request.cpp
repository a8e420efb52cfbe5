#include <gtest/gtest.h>

#include <boost/asio/steady_timer.hpp> // steady_timer

#include "gateway/gateway_fleet.hpp"

namespace endivehinge::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char const * crashing_path = "/safe/crash";
constexpr milliseconds target_restart_time(800);

/// @brief nodes of one service, whose targets crash when they begin to run a
/// request for crashing_path and start again after a moment
class crashing_fleet : public gateway_fleet
{
public:
    explicit crashing_fleet(std::size_t count)
    {
        this->start_members(count, "web");
        for (auto const & member : this->members)
        {
            this->crash_on_request(*member);
        }
    }

    /// @brief sends the crashing request to each node in turn
    void send_crashing_request(int number)
    {
        auto & member = *this->members[static_cast<std::size_t>(number) %
                                       this->members.size()];
        this->calls.push_back(this->send(
            member, crashing_path, "crash-" + std::to_string(number)));
    }

    // times of the runs of the crashing request
    std::vector<time_point> crash_times;
    std::vector<std::shared_ptr<client_call>> calls;

private:
    void crash_on_request(fleet_member & member)
    {
        member.target->request_hook =
            [this, &member](std::shared_ptr<detail::exchange> const & incoming)
        {
            if (incoming->request.target() != crashing_path)
            {
                member.target->respond(*incoming, 200);
                return;
            }
            this->crash_times.push_back(std::chrono::steady_clock::now());
            member.target->crash();
            this->restart_later(member);
        };
    }

    void restart_later(fleet_member & member)
    {
        auto const timer = std::make_shared<boost::asio::steady_timer>(
            this->io, target_restart_time);
        timer->async_wait(
            [this, timer, &member](boost::system::error_code)
            {
                member.target->restart("i-" +
                                       std::to_string(++this->restarts + 100));
            });
    }

    int restarts = 0;
};

// Each attempt of a client has its own ID, so a request that crashed its target
// ran again whenever it came back, until it had crashed one target for each
// attempt of its route.
TEST(gateway_crashing_request, is_refused_after_it_crashed_three_targets)
{
    crashing_fleet fleet(4);
    for (int i = 0; i < 20; ++i)
    {
        fleet.send_crashing_request(i);
        fleet.run_for(milliseconds(400));
    }
    // the users' bound is three runs later than 3 s after the third crash
    ASSERT_FALSE(fleet.crash_times.empty());
    std::size_t late_runs = 0;
    for (std::size_t i = 3; i < fleet.crash_times.size(); ++i)
    {
        late_runs +=
            fleet.crash_times[i] > fleet.crash_times[2] + seconds(3) ? 1 : 0;
    }
    EXPECT_LE(late_runs, 3U);
    EXPECT_LE(fleet.crash_times.size(), 3U);
}

} // namespace
} // namespace endivehinge::tests
