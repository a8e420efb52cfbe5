#include <string> // string

#include <absl/strings/str_format.h> // StrFormat
#include <gtest/gtest.h>

#include <endivehinge/coordination/idempotency_table.hpp>
#include <endivehinge/coordination/key_time_stamp.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

clock_reading const start{time_point(seconds(1000)),
                          wall_time(seconds(1800000000))};
request_fingerprint const booking(1);
request_fingerprint const payout(2);

clock_reading after(duration delay)
{
    return {start.now + delay, start.wall + delay};
}

idempotency_key make_stamped_key(wall_time when, unsigned int number = 1)
{
    auto const ms =
        duration_cast<milliseconds>(when.time_since_epoch()).count();
    return idempotency_key(absl::StrFormat(
        "%08x-%04x-7000-8000-%012x", ms >> 16, ms & 0xffff, number));
}

outcome answer(std::string body)
{
    return outcome::answered({200, {}, std::move(body)});
}

idempotency_limits small_limits()
{
    idempotency_limits limits;
    limits.keys = 3;
    limits.answer_bytes = 100;
    limits.reserved_answer_bytes = 10;
    return limits;
}

class idempotency_table_test : public ::testing::Test
{
protected:
    key_decision use(idempotency_key const & used,
                     clock_reading const & reading = start)
    {
        return this->table.begin(used, booking, this->complete_since, reading)
            .decision;
    }

    std::optional<wall_time> complete_since;
    idempotency_table table{small_limits()};
    idempotency_key const key = make_stamped_key(start.wall);
};

TEST_F(idempotency_table_test, duplicate_key_returns_the_stored_answer)
{
    EXPECT_EQ(this->use(this->key), key_decision::started);
    EXPECT_EQ(this->use(this->key), key_decision::in_flight);
    this->table.finish(this->key, answer("console 3"), after(seconds(1)));
    auto const duplicate =
        this->table.begin(this->key, booking, std::nullopt, after(minutes(9)));
    EXPECT_EQ(duplicate.decision, key_decision::finished);
    EXPECT_EQ(duplicate.result->answer.body, "console 3");
}

TEST_F(idempotency_table_test, key_reused_by_another_request_is_rejected)
{
    EXPECT_EQ(this->use(this->key), key_decision::started);
    EXPECT_EQ(
        this->table.begin(this->key, payout, std::nullopt, start).decision,
        key_decision::reused);
    this->table.finish(this->key, answer("a"), start);
    EXPECT_EQ(
        this->table.begin(this->key, payout, std::nullopt, start).decision,
        key_decision::reused);
}

TEST_F(idempotency_table_test, key_of_a_rejected_request_can_start_again)
{
    EXPECT_EQ(this->use(this->key), key_decision::started);
    this->table.finish(
        this->key, outcome::rejected({}, duration(0)), after(seconds(1)));
    EXPECT_EQ(this->table.answer_bytes(), 0U);
    EXPECT_EQ(this->use(this->key), key_decision::started);
}

TEST_F(idempotency_table_test, indeterminate_outcome_is_stored)
{
    EXPECT_EQ(this->use(this->key), key_decision::started);
    this->table.finish(this->key, outcome::indeterminate({}), start);
    EXPECT_EQ(this->use(this->key, after(minutes(9))),
              key_decision::indeterminate);
}

struct takeover_case
{
    char const * name;
    idempotency_key key;
    duration request_delay;
    key_decision expected;
};

// The records are complete since `start`, when the node took over the keys.
TEST_F(idempotency_table_test, only_a_provably_new_key_starts_after_takeover)
{
    duration const margin = small_limits().stamp_margin();
    idempotency_key const key_without_stamp("order 17");
    takeover_case const cases[] = {
        {"created before the takeover",
         make_stamped_key(start.wall - seconds(9)),
         seconds(1),
         key_decision::indeterminate},
        {"created within the clock error",
         make_stamped_key(start.wall + margin),
         margin,
         key_decision::indeterminate},
        {"created after the takeover",
         make_stamped_key(start.wall + margin + milliseconds(1)),
         margin,
         key_decision::started},
        {"created before the takeover, window expired",
         make_stamped_key(start.wall - seconds(9), 3),
         minutes(11),
         key_decision::indeterminate},
        {"no time stamp",
         key_without_stamp,
         minutes(9),
         key_decision::indeterminate},
    };
    this->complete_since = start.wall;
    for (auto const & test_case : cases)
    {
        EXPECT_EQ(this->use(test_case.key, after(test_case.request_delay)),
                  test_case.expected)
            << test_case.name;
    }
    this->complete_since.reset();
    EXPECT_EQ(this->use(key_without_stamp, after(minutes(11))),
              key_decision::started);
}

TEST_F(idempotency_table_test, time_stamp_ahead_of_the_clock_is_rejected)
{
    duration const max_clock_error = small_limits().caller_clock_error;
    EXPECT_EQ(this->use(make_stamped_key(start.wall + max_clock_error +
                                         milliseconds(1))),
              key_decision::stamp_ahead);
    EXPECT_EQ(this->use(make_stamped_key(start.wall + max_clock_error)),
              key_decision::started);
}

TEST_F(idempotency_table_test, expired_key_with_time_stamp_does_not_start_again)
{
    EXPECT_EQ(this->use(this->key), key_decision::started);
    this->table.finish(this->key, answer("a"), start);
    EXPECT_EQ(this->use(this->key, after(minutes(10))), key_decision::finished);
    EXPECT_EQ(this->use(this->key, after(minutes(10) + milliseconds(1))),
              key_decision::indeterminate);
    EXPECT_EQ(this->table.size(), 0U);
}

TEST_F(idempotency_table_test, longer_window_does_not_make_an_expired_key_new)
{
    EXPECT_EQ(this->use(this->key), key_decision::started);
    this->table.finish(this->key, answer("a"), start);
    auto const later = after(minutes(11));
    EXPECT_EQ(this->use(this->key, later), key_decision::indeterminate);
    this->table.set_window(minutes(60), later);
    EXPECT_EQ(this->use(this->key, later), key_decision::indeterminate);
    EXPECT_EQ(this->use(make_stamped_key(later.wall), later),
              key_decision::started);
}

TEST_F(idempotency_table_test, new_key_is_rejected_at_the_key_limit)
{
    for (unsigned int number = 1; number <= 3; ++number)
    {
        EXPECT_EQ(this->use(make_stamped_key(start.wall, number)),
                  key_decision::started);
        this->table.finish(
            make_stamped_key(start.wall, number), answer("a"), start);
    }
    EXPECT_EQ(this->use(make_stamped_key(start.wall, 4)), key_decision::full);
    EXPECT_EQ(this->use(make_stamped_key(start.wall, 1)),
              key_decision::finished);
}

TEST_F(idempotency_table_test, answer_beyond_byte_limit_becomes_indeterminate)
{
    EXPECT_EQ(this->use(make_stamped_key(start.wall, 1)),
              key_decision::started);
    EXPECT_EQ(this->use(make_stamped_key(start.wall, 2)),
              key_decision::started);
    this->table.finish(
        make_stamped_key(start.wall, 1), answer(std::string(101, 'x')), start);
    EXPECT_EQ(this->use(make_stamped_key(start.wall, 1)),
              key_decision::indeterminate);
    this->table.finish(
        make_stamped_key(start.wall, 2), answer(std::string(95, 'x')), start);
    EXPECT_EQ(this->use(make_stamped_key(start.wall, 2)),
              key_decision::finished);
    EXPECT_EQ(this->use(make_stamped_key(start.wall, 3)), key_decision::full);
}

TEST_F(idempotency_table_test, exported_records_are_imported_by_the_next_owner)
{
    auto const running = make_stamped_key(start.wall, 2);
    EXPECT_EQ(this->use(this->key), key_decision::started);
    this->table.finish(this->key, answer("kept"), start);
    EXPECT_EQ(this->use(running), key_decision::started);
    auto const all = [](idempotency_key const &)
    {
        return true;
    };
    idempotency_table next{small_limits()};
    next.import_records(this->table.export_records(all, start), start);
    auto const imported = next.begin(this->key, booking, std::nullopt, start);
    EXPECT_EQ(imported.decision, key_decision::finished);
    EXPECT_EQ(imported.result->answer.body, "kept");
    EXPECT_EQ(next.begin(running, booking, std::nullopt, start).decision,
              key_decision::indeterminate);

    this->table.finish(running, answer("late"), start);
    next.import_records(this->table.export_records(all, start), start);
    EXPECT_EQ(next.begin(running, booking, std::nullopt, start).decision,
              key_decision::finished);
    EXPECT_EQ(next.begin(running, payout, std::nullopt, start).decision,
              key_decision::reused);
}

TEST(key_time_stamp, is_read_from_version_7_uuid_only)
{
    EXPECT_EQ(time_stamp_of(make_stamped_key(start.wall)), start.wall);
    for (char const * const text :
         {"",
          "order 17",
          "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",  // version 4
          "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",  // wrong variant
          "017f22e2-79b0-7cc3-98c4-dc0c0c07398",   // too short
          "017f22e2-79b0-7cc3-98c4-dc0c0c07398g",  // not a digit
          "{017f22e2-79b0-7cc3-98c4-dc0c0c0739}",  // not in the plain UUID
                                                   // format
          "ffffffff-ffff-7cc3-98c4-dc0c0c07398f"}) // beyond the range of the
                                                   // clock
    {
        EXPECT_FALSE(time_stamp_of(idempotency_key(text)).has_value()) << text;
    }
    EXPECT_EQ(
        time_stamp_of(idempotency_key("017F22E2-79B0-7CC3-98C4-DC0C0C07398F")),
        wall_time(milliseconds(0x017F22E279B0)));
}

} // namespace
} // namespace endivehinge
