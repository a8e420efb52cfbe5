#include <algorithm> // count, max
#include <array>     // array
#include <string>    // string

#include <fcntl.h> // fcntl, F_SETFL, O_NONBLOCK
#include <gtest/gtest.h>
#include <unistd.h> // close, pipe, read

#include <endivehinge/detail/gateway/event_log.hpp>

namespace endivehinge::detail
{
namespace
{

class event_log_test : public ::testing::Test
{
public:
    event_log_test()
    {
        EXPECT_EQ(::pipe(this->ends.data()), 0);
        // the reader of this test does not wait; the log's end may block
        EXPECT_EQ(::fcntl(this->ends[0], F_SETFL, O_NONBLOCK), 0);
    }

    ~event_log_test() override
    {
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }

    event_log_test(event_log_test const &) = delete;
    event_log_test & operator=(event_log_test const &) = delete;

protected:
    [[nodiscard]] std::string read_some() const
    {
        std::array<char, 65536> bytes{};
        auto const size = ::read(this->ends[0], bytes.data(), bytes.size());
        return {bytes.data(), static_cast<std::size_t>(std::max(size, 0L))};
    }

    std::array<int, 2> ends{};
};

TEST_F(event_log_test, an_event_is_one_line_whatever_its_values_hold)
{
    event_log log("node-1", this->ends[1]);
    log.write("placed", {{"id", "a b"}, {"reason", "x=\"1\"\nevent=forged"}});
    auto const text = this->read_some();
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
    EXPECT_NE(text.find(" node=node-1 event=placed id=\"a b\" "),
              std::string::npos)
        << text;
}

// more than a pipe holds, in many kinds of events
TEST_F(event_log_test, an_output_that_nobody_reads_never_blocks)
{
    event_log log("node-1", this->ends[1]);
    std::string const value(500, 'x');
    for (int kind = 0; kind < 50; ++kind)
    {
        for (int i = 0; i < 100; ++i)
        {
            log.write("event_" + std::to_string(kind), {{"value", value}});
        }
    }
    EXPECT_GT(log.dropped_count(), 4000U);
    EXPECT_FALSE(this->read_some().empty());
    // lines come again once somebody has read
    while (!this->read_some().empty())
    {
    }
    log.write("after", {{"value", "1"}});
    auto const text = this->read_some();
    EXPECT_NE(text.find(" event=after value=1\n"), std::string::npos) << text;
}

TEST_F(event_log_test, each_kind_has_a_budget_and_states_what_was_left_out)
{
    event_log log("node-1", this->ends[1]);
    for (int i = 0; i < 1000; ++i)
    {
        log.write("often", {});
    }
    EXPECT_GE(log.dropped_count(), 700U);
    log.write("rare", {{"value", "1"}});
    EXPECT_NE(this->read_some().find(" event=rare value=1\n"),
              std::string::npos);
}

} // namespace
} // namespace endivehinge::detail
