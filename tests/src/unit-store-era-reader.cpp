#include <algorithm> // max
#include <array>     // array
#include <string>    // string

#include <fcntl.h> // fcntl, F_SETFL, O_NONBLOCK
#include <gtest/gtest.h>
#include <unistd.h> // close, pipe, read

#include <endivehinge/detail/gateway/store_era_reader.hpp>
#include <endivehinge/detail/gateway/store_restore_log.hpp>
#include <platform/platform_store.hpp>

namespace endivehinge::detail
{
namespace
{

namespace http = boost::beast::http;

object_version position(std::uint64_t era, std::uint64_t revision)
{
    return {store_era(era), revision};
}

class store_era_reader_test : public ::testing::Test
{
public:
    store_era_reader_test()
    {
        EXPECT_EQ(::fcntl(this->pipe_ends[0], F_SETFL, O_NONBLOCK), 0);
        this->reader.on_rise(
            [this]
            {
                this->rises += 1;
            });
    }

    ~store_era_reader_test() override
    {
        ::close(this->pipe_ends[0]);
        ::close(this->pipe_ends[1]);
    }

    store_era_reader_test(store_era_reader_test const &) = delete;
    store_era_reader_test & operator=(store_era_reader_test const &) = delete;

protected:
    std::optional<store_era> read(char const * era,
                                  http::status status = http::status::ok)
    {
        response_message answer{status, 11};
        if (era != nullptr)
        {
            answer.set("Store-Era", era);
        }
        return this->reader.read(answer);
    }

    [[nodiscard]] std::string logged() const
    {
        std::array<char, 65536> bytes{};
        auto const size =
            ::read(this->pipe_ends[0], bytes.data(), bytes.size());
        return {bytes.data(), static_cast<std::size_t>(std::max(size, 0L))};
    }

    static std::array<int, 2> open_pipe()
    {
        std::array<int, 2> ends{};
        EXPECT_EQ(::pipe(ends.data()), 0);
        return ends;
    }

    std::array<int, 2> pipe_ends = open_pipe();
    platform::platform_store adapter{endpoint{"10.0.0.1", 80}};
    event_log log{"node-1", this->pipe_ends[1]};
    store_era_reader reader{this->adapter, this->log};
    int rises = 0;
};

TEST_F(store_era_reader_test, answer_without_era_is_of_the_last_one_and_logged)
{
    EXPECT_EQ(this->read(nullptr), store_era());
    EXPECT_EQ(this->read("4"), store_era(4));
    EXPECT_EQ(this->read(nullptr), store_era(4));
    EXPECT_EQ(this->read("x"), store_era(4));
    auto const lines = this->logged();
    auto const first = lines.find("event=store_era_unknown");
    ASSERT_NE(first, std::string::npos);
    EXPECT_EQ(lines.find("event=store_era_unknown", first + 1),
              std::string::npos);
    EXPECT_EQ(this->rises, 0);
}

TEST_F(store_era_reader_test, refusal_can_be_the_first_to_tell_a_rise)
{
    EXPECT_EQ(this->read("4"), store_era(4));
    EXPECT_EQ(this->read("5", http::status::too_many_requests), store_era(5));
    EXPECT_EQ(this->read("5", http::status::gone), store_era(5));
    EXPECT_EQ(this->rises, 1);
}

TEST_F(store_era_reader_test, late_answer_of_an_earlier_era_has_no_content)
{
    static_cast<void>(this->read("4"));
    this->reader.learn(store_era(5));
    EXPECT_EQ(this->rises, 1);
    EXPECT_FALSE(this->read("4").has_value());
    EXPECT_EQ(this->reader.newest(), store_era(5));
    EXPECT_EQ(this->rises, 1);
}

TEST_F(store_era_reader_test, one_line_tells_a_restore_of_all_kinds)
{
    store_restore_log restores(this->log);
    replica_versions versions;
    versions.kinds = {position(2, 80), position(1, 90), position(1, 90)};
    restores.record({object_kind::configuration,
                     position(1, 90),
                     position(2, 80),
                     0,
                     false,
                     "store"},
                    versions);
    EXPECT_EQ(this->logged(), "");
    versions.kinds[1] = position(2, 80);
    restores.record({object_kind::evacuations,
                     position(1, 90),
                     position(2, 80),
                     1,
                     false,
                     "store"},
                    versions);
    versions.kinds[2] = position(2, 80);
    restores.record({object_kind::targets,
                     position(1, 91),
                     position(2, 80),
                     2,
                     true,
                     "store"},
                    versions);
    auto const line = this->logged();
    EXPECT_NE(line.find("event=store_era_rose era=2 "
                        "configuration=1.90-2.80 evacuations=1.90-2.80 "
                        "targets=1.91-2.80 objects_missing=3 "
                        "own_entry=missing from=store\n"),
              std::string::npos)
        << line;
}

} // namespace
} // namespace endivehinge::detail
