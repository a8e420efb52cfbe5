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
        EXPECT_EQ(::pipe(this->pipe_ends.data()), 0);
        // reads must not wait; the write end stays blocking
        EXPECT_EQ(::fcntl(this->pipe_ends[0], F_SETFL, O_NONBLOCK), 0);
    }

    ~event_log_test() override
    {
        ::close(this->pipe_ends[0]);
        ::close(this->pipe_ends[1]);
    }

    event_log_test(event_log_test const &) = delete;
    event_log_test & operator=(event_log_test const &) = delete;

protected:
    [[nodiscard]] std::string read_available() const
    {
        std::array<char, 65536> bytes{};
        auto const size =
            ::read(this->pipe_ends[0], bytes.data(), bytes.size());
        return {bytes.data(), static_cast<std::size_t>(std::max(size, 0L))};
    }

    std::array<int, 2> pipe_ends{};
};

TEST_F(event_log_test, quotes_and_line_breaks_in_values_stay_on_one_line)
{
    event_log log("node-1", this->pipe_ends[1]);
    log.write("placed", {{"id", "a b"}, {"reason", "x=\"1\"\nevent=forged"}});
    auto const output = this->read_available();
    EXPECT_EQ(std::count(output.begin(), output.end(), '\n'), 1);
    EXPECT_NE(output.find(" node=node-1 event=placed id=\"a b\" "),
              std::string::npos)
        << output;
}

TEST_F(event_log_test, lines_are_readable_text)
{
    event_log log("node-1", this->pipe_ends[1]);
    log.write("target_known", {{"target", "a\xFF\x01"}});
    EXPECT_NE(this->read_available().find("target=\"a\xEF\xBF\xBD \"\n"),
              std::string::npos);
}

// writes more than the pipe buffer holds, over many event names, because each
// name is rate limited
TEST_F(event_log_test, write_drops_lines_when_pipe_is_full)
{
    event_log log("node-1", this->pipe_ends[1]);
    std::string const value(500, 'x');
    for (int event_number = 0; event_number < 50; ++event_number)
    {
        for (int i = 0; i < 100; ++i)
        {
            log.write("event_" + std::to_string(event_number),
                      {{"value", value}});
        }
    }
    EXPECT_GT(log.dropped_count(), 4000U);
    EXPECT_FALSE(this->read_available().empty());
    // lines are written again after the pipe has been read
    while (!this->read_available().empty())
    {
    }
    log.write("after", {{"value", "1"}});
    auto const output = this->read_available();
    EXPECT_NE(output.find(" event=after value=1\n"), std::string::npos)
        << output;
}

TEST_F(event_log_test, rate_limit_applies_to_each_event_separately)
{
    event_log log("node-1", this->pipe_ends[1]);
    for (int i = 0; i < 1000; ++i)
    {
        log.write("often", {});
    }
    EXPECT_GE(log.dropped_count(), 700U);
    log.write("rare", {{"value", "1"}});
    EXPECT_NE(this->read_available().find(" event=rare value=1\n"),
              std::string::npos);
}

} // namespace
} // namespace endivehinge::detail
