#include <gtest/gtest.h>

#include <unistd.h> // STDOUT_FILENO

#include <endivehinge/detail/gateway/loop_time.hpp>
#include <endivehinge/detail/gateway/target_crash_monitor.hpp>

namespace endivehinge::detail
{
namespace
{

using std::chrono::seconds;

dispatch_request make_request(std::string const & path)
{
    dispatch_request request;
    request.message = request_message{boost::beast::http::verb::get, path, 11};
    request.service = service_name("web");
    return request;
}

crash_report make_report(dispatch_request const & request,
                         std::string const & crash,
                         bool isolated)
{
    return {fingerprint_of(request), crash_id(crash), isolated, seconds(600)};
}

class target_crash_monitor_test : public ::testing::Test
{
protected:
    gateway_settings settings;
    event_log log{"node", STDOUT_FILENO};
    target_crash_monitor monitor{settings, log};
};

// A frequent request was in flight at the crashes of four targets and retried
// on the next one each time; it was quarantined for all clients.
TEST_F(target_crash_monitor_test, request_that_completed_lately_is_clear)
{
    auto const frequent = make_request("/a");
    this->monitor.record_success(frequent);
    for (char const * const crash : {"a/1", "b/1", "c/1", "d/1"})
    {
        this->monitor.merge({make_report(frequent, crash, true)});
        this->monitor.record_lost(frequent, true, loop_now());
        this->monitor.confirm_crash(target_id("i-1"));
    }
    EXPECT_EQ(this->monitor.check(frequent).verdict, quarantine_verdict::clear);
}

TEST_F(target_crash_monitor_test, request_that_never_completes_is_quarantined)
{
    auto const crashing = make_request("/b");
    this->monitor.merge({make_report(crashing, "a/1", false)});
    EXPECT_EQ(this->monitor.check(crashing).verdict,
              quarantine_verdict::suspect);
    this->monitor.merge({make_report(crashing, "b/1", true)});
    EXPECT_EQ(this->monitor.check(crashing).verdict,
              quarantine_verdict::crashing);
    EXPECT_EQ(this->monitor.check(make_request("/c")).verdict,
              quarantine_verdict::clear);
    ASSERT_EQ(this->monitor.crashing().size(), 1U);
}

TEST_F(target_crash_monitor_test, lost_connections_alone_report_nothing)
{
    std::size_t reported = 0;
    this->monitor.on_crash(
        [&reported](std::vector<crash_report> const & reports)
        {
            reported += reports.size();
        });
    this->monitor.record_lost(make_request("/a"), false, loop_now());
    EXPECT_EQ(reported, 0U);
    this->monitor.confirm_crash(target_id("i-1"));
    EXPECT_EQ(reported, 1U);
    this->monitor.confirm_crash(target_id("i-1"));
    EXPECT_EQ(reported, 1U);
}

} // namespace
} // namespace endivehinge::detail
