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

clock_reading after(duration span)
{
    return {start.now + span, start.wall + span};
}

idempotency_key stamped(wall_time when, unsigned int number = 1)
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

class idempotency : public ::testing::Test
{
protected:
    key_decision use(idempotency_key const & used,
                     clock_reading const & at = start)
    {
        return this->table.begin(used, booking, this->complete_since, at)
            .decision;
    }

    std::optional<wall_time> complete_since;
    idempotency_table table{small_limits()};
    idempotency_key const key = stamped(start.wall);
};

TEST_F(idempotency, a_key_starts_once_and_keeps_its_answer)
{
    EXPECT_EQ(this->use(this->key), key_decision::started);
    EXPECT_EQ(this->use(this->key), key_decision::in_flight);
    this->table.finish(this->key, answer("console 3"), after(seconds(1)));
    auto const again =
        this->table.begin(this->key, booking, std::nullopt, after(minutes(9)));
    EXPECT_EQ(again.decision, key_decision::finished);
    EXPECT_EQ(again.result->answer.body, "console 3");
}

TEST_F(idempotency, another_request_with_the_key_is_refused)
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

TEST_F(idempotency, a_request_that_did_not_run_gives_its_key_back)
{
    EXPECT_EQ(this->use(this->key), key_decision::started);
    this->table.finish(
        this->key, outcome::rejected({}, duration(0)), after(seconds(1)));
    EXPECT_EQ(this->table.answer_bytes(), 0U);
    EXPECT_EQ(this->use(this->key), key_decision::started);
}

TEST_F(idempotency, an_unknown_outcome_stays_unknown)
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
    duration asked_after;
    key_decision expected;
};

// the records are whole since `start`, when the node took over
TEST_F(idempotency, after_a_takeover_only_a_provably_new_key_runs)
{
    duration const margin = small_limits().stamp_margin();
    idempotency_key const plain("order 17");
    takeover_case const cases[] = {
        {"made before",
         stamped(start.wall - seconds(9)),
         seconds(1),
         key_decision::indeterminate},
        {"made within the clocks' error",
         stamped(start.wall + margin),
         margin,
         key_decision::indeterminate},
        {"made after",
         stamped(start.wall + margin + milliseconds(1)),
         margin,
         key_decision::started},
        {"made before, the window has passed",
         stamped(start.wall - seconds(9), 3),
         minutes(11),
         key_decision::indeterminate},
        {"without a stamp", plain, minutes(9), key_decision::indeterminate},
    };
    this->complete_since = start.wall;
    for (auto const & one : cases)
    {
        EXPECT_EQ(this->use(one.key, after(one.asked_after)), one.expected)
            << one.name;
    }
    this->complete_since.reset();
    EXPECT_EQ(this->use(plain, after(minutes(11))), key_decision::started);
}

TEST_F(idempotency, a_stamp_ahead_of_the_clock_is_refused)
{
    duration const allowed = small_limits().caller_clock_error;
    EXPECT_EQ(this->use(stamped(start.wall + allowed + milliseconds(1))),
              key_decision::stamp_ahead);
    EXPECT_EQ(this->use(stamped(start.wall + allowed)), key_decision::started);
}

TEST_F(idempotency, an_expired_stamped_key_does_not_run_again)
{
    EXPECT_EQ(this->use(this->key), key_decision::started);
    this->table.finish(this->key, answer("a"), start);
    EXPECT_EQ(this->use(this->key, after(minutes(10))), key_decision::finished);
    EXPECT_EQ(this->use(this->key, after(minutes(10) + milliseconds(1))),
              key_decision::indeterminate);
    EXPECT_EQ(this->table.size(), 0U);
}

TEST_F(idempotency, a_longer_window_does_not_make_an_expired_key_new)
{
    EXPECT_EQ(this->use(this->key), key_decision::started);
    this->table.finish(this->key, answer("a"), start);
    auto const later = after(minutes(11));
    EXPECT_EQ(this->use(this->key, later), key_decision::indeterminate);
    this->table.set_window(minutes(60), later);
    EXPECT_EQ(this->use(this->key, later), key_decision::indeterminate);
    EXPECT_EQ(this->use(stamped(later.wall), later), key_decision::started);
}

TEST_F(idempotency, at_the_bound_new_keys_are_refused_and_none_is_dropped)
{
    for (unsigned int number = 1; number <= 3; ++number)
    {
        EXPECT_EQ(this->use(stamped(start.wall, number)),
                  key_decision::started);
        this->table.finish(stamped(start.wall, number), answer("a"), start);
    }
    EXPECT_EQ(this->use(stamped(start.wall, 4)), key_decision::full);
    EXPECT_EQ(this->use(stamped(start.wall, 1)), key_decision::finished);
}

TEST_F(idempotency, an_answer_beyond_the_bytes_is_known_to_have_run)
{
    EXPECT_EQ(this->use(stamped(start.wall, 1)), key_decision::started);
    EXPECT_EQ(this->use(stamped(start.wall, 2)), key_decision::started);
    this->table.finish(
        stamped(start.wall, 1), answer(std::string(101, 'x')), start);
    EXPECT_EQ(this->use(stamped(start.wall, 1)), key_decision::indeterminate);
    this->table.finish(
        stamped(start.wall, 2), answer(std::string(95, 'x')), start);
    EXPECT_EQ(this->use(stamped(start.wall, 2)), key_decision::finished);
    EXPECT_EQ(this->use(stamped(start.wall, 3)), key_decision::full);
}

TEST_F(idempotency, records_go_to_the_next_owner)
{
    auto const running = stamped(start.wall, 2);
    EXPECT_EQ(this->use(this->key), key_decision::started);
    this->table.finish(this->key, answer("kept"), start);
    EXPECT_EQ(this->use(running), key_decision::started);
    auto const all = [](idempotency_key const &)
    {
        return true;
    };
    idempotency_table next{small_limits()};
    next.import_records(this->table.export_records(all, start), start);
    auto const kept = next.begin(this->key, booking, std::nullopt, start);
    EXPECT_EQ(kept.decision, key_decision::finished);
    EXPECT_EQ(kept.result->answer.body, "kept");
    EXPECT_EQ(next.begin(running, booking, std::nullopt, start).decision,
              key_decision::indeterminate);

    this->table.finish(running, answer("late"), start);
    next.import_records(this->table.export_records(all, start), start);
    EXPECT_EQ(next.begin(running, booking, std::nullopt, start).decision,
              key_decision::finished);
    EXPECT_EQ(next.begin(running, payout, std::nullopt, start).decision,
              key_decision::reused);
}

TEST(key_time_stamp, is_read_from_version_7_only)
{
    EXPECT_EQ(time_stamp_of(stamped(start.wall)), start.wall);
    for (char const * const text :
         {"",
          "order 17",
          "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",  // version 4
          "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",  // another variant
          "017f22e2-79b0-7cc3-98c4-dc0c0c07398",   // too short
          "017f22e2-79b0-7cc3-98c4-dc0c0c07398g",  // not a digit
          "{017f22e2-79b0-7cc3-98c4-dc0c0c0739}",  // another form
          "ffffffff-ffff-7cc3-98c4-dc0c0c07398f"}) // beyond the clock
    {
        EXPECT_FALSE(time_stamp_of(idempotency_key(text)).has_value()) << text;
    }
    EXPECT_EQ(
        time_stamp_of(idempotency_key("017F22E2-79B0-7CC3-98C4-DC0C0C07398F")),
        wall_time(milliseconds(0x017F22E279B0)));
}

} // namespace
} // namespace endivehinge
