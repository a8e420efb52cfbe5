#include <map>    // map
#include <random> // mt19937
#include <string> // to_string

#include <gtest/gtest.h>

#include <endivehinge/coordination/execution_table.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::seconds;

incarnation const own_run(7);
time_point const start(seconds(1000));

request_id id_of(int counter, std::string const & sender = "node-a-5")
{
    return request_id(sender + "-" + std::to_string(counter));
}

outcome answer(std::string body)
{
    return outcome::answered({200, {}, std::move(body)});
}

execution_limits small_limits()
{
    execution_limits limits;
    limits.records = 4;
    limits.answer_bytes = 10;
    limits.max_tracked_senders = 2;
    limits.retention = seconds(60);
    return limits;
}

class execution : public ::testing::Test
{
protected:
    execution_state begin(request_id const & id)
    {
        return this->table.begin(id, this->now).state;
    }

    execution_report ask(request_id const & id, incarnation run = own_run)
    {
        return this->table.query_or_fence(id, run, this->now);
    }

    void run(request_id const & id, outcome result)
    {
        ASSERT_EQ(this->begin(id), execution_state::started);
        this->table.finish(id, std::move(result), this->now);
    }

    time_point now = start;
    execution_table table{own_run, small_limits()};
};

TEST_F(execution, an_id_starts_once_and_its_duplicate_gets_the_outcome)
{
    EXPECT_EQ(this->begin(id_of(1)), execution_state::started);
    EXPECT_EQ(this->begin(id_of(1)), execution_state::running);
    EXPECT_EQ(this->ask(id_of(1)).state, execution_state::running);
    this->table.finish(id_of(1), answer("organ"), this->now);
    auto const again = this->table.begin(id_of(1), this->now);
    EXPECT_EQ(again.state, execution_state::finished);
    EXPECT_EQ(again.result->answer.body, "organ");
    EXPECT_EQ(this->ask(id_of(1)).result->answer.body, "organ");
}

TEST_F(execution, a_request_that_was_asked_for_first_never_starts)
{
    EXPECT_EQ(this->ask(id_of(1)).state, execution_state::fenced);
    EXPECT_EQ(this->begin(id_of(1)), execution_state::fenced);
    EXPECT_EQ(this->ask(id_of(1)).state, execution_state::fenced);
}

TEST_F(execution, a_request_that_went_to_an_earlier_run_is_indeterminate)
{
    EXPECT_EQ(this->ask(id_of(1), incarnation(6)).state,
              execution_state::indeterminate);
}

TEST_F(execution, an_expired_record_never_turns_into_not_run)
{
    this->run(id_of(2), answer("a"));
    EXPECT_EQ(this->ask(id_of(3)).state, execution_state::fenced);
    this->now += seconds(60);
    EXPECT_EQ(this->ask(id_of(2)).state, execution_state::indeterminate);
    EXPECT_EQ(this->begin(id_of(3)), execution_state::indeterminate);
    EXPECT_EQ(this->begin(id_of(4)), execution_state::started);
}

TEST_F(execution, the_record_bound_drops_the_first_that_ended)
{
    for (int counter = 1; counter <= 4; ++counter)
    {
        this->run(id_of(counter), answer("a"));
    }
    EXPECT_EQ(this->begin(id_of(5)), execution_state::started);
    EXPECT_EQ(this->table.size(), 4U);
    EXPECT_EQ(this->begin(id_of(1)), execution_state::indeterminate);
    EXPECT_EQ(this->ask(id_of(2)).state, execution_state::finished);
}

TEST_F(execution, what_runs_is_never_dropped)
{
    for (int counter = 1; counter <= 4; ++counter)
    {
        EXPECT_EQ(this->begin(id_of(counter)), execution_state::started);
    }
    EXPECT_EQ(this->begin(id_of(5)), execution_state::full);
    EXPECT_EQ(this->ask(id_of(5)).state, execution_state::indeterminate);
    this->now += seconds(600);
    EXPECT_EQ(this->begin(id_of(1)), execution_state::running);
}

TEST_F(execution, an_answer_beyond_the_bytes_is_known_to_have_run)
{
    this->run(id_of(1), answer("123456"));
    this->run(id_of(2), answer("123456"));
    EXPECT_EQ(this->table.answer_bytes(), 6U);
    auto const first = this->ask(id_of(1));
    EXPECT_EQ(first.state, execution_state::finished);
    EXPECT_EQ(first.result->kind, outcome_kind::indeterminate);
    EXPECT_EQ(this->ask(id_of(2)).result->answer.body, "123456");
}

TEST_F(execution, a_refusal_keeps_its_kind_without_its_text)
{
    this->run(
        id_of(1),
        outcome::rejected({failure_id::overloaded, "run on target", {}, {}},
                          seconds(1)));
    EXPECT_EQ(this->table.answer_bytes(), 0U);
    EXPECT_EQ(this->ask(id_of(1)).result->kind, outcome_kind::rejected);
    EXPECT_EQ(this->begin(id_of(1)), execution_state::finished);
}

TEST_F(execution, more_senders_than_are_told_apart_stay_true)
{
    std::string const senders[] = {"a-10", "b-20", "c-30"};
    for (auto const & sender : senders)
    {
        this->run(id_of(1, sender), answer("a"));
        this->now += seconds(60);
    }
    EXPECT_EQ(this->begin(id_of(9, "z-1")), execution_state::indeterminate);
    for (auto const & sender : senders)
    {
        EXPECT_EQ(this->ask(id_of(1, sender)).state,
                  execution_state::indeterminate);
    }
    EXPECT_EQ(this->begin(id_of(2, "c-30")), execution_state::started);
}

TEST_F(execution, ids_of_another_form_are_told_apart_until_one_is_dropped)
{
    this->run(request_id("x"), answer("a"));
    EXPECT_EQ(this->begin(request_id("y")), execution_state::started);
    this->now += seconds(60);
    EXPECT_EQ(this->ask(request_id("x")).state, execution_state::indeterminate);
    EXPECT_EQ(this->begin(request_id("z")), execution_state::indeterminate);
}

// no id starts twice, and none is fenced once it has started
TEST(execution_history, holds_for_random_schedules)
{
    for (unsigned int seed = 1; seed <= 200; ++seed)
    {
        std::mt19937 random(seed);
        execution_table table(own_run, small_limits());
        std::map<request_id, int> starts;
        std::map<request_id, bool> fenced;
        time_point now = start;
        for (int step = 0; step < 400; ++step)
        {
            std::string const sender =
                "n" + std::to_string(random() % 4) + "-5";
            auto const id = id_of(static_cast<int>(random() % 12), sender);
            now += seconds(random() % 10);
            switch (random() % 3)
            {
            case 0:
                if (table.begin(id, now).state == execution_state::started)
                {
                    ++starts[id];
                    ASSERT_FALSE(fenced[id]) << "seed " << seed;
                }
                break;
            case 1:
                table.finish(id, answer("12345"), now);
                break;
            default:
                if (table.query_or_fence(id, own_run, now).state ==
                    execution_state::fenced)
                {
                    fenced[id] = true;
                    ASSERT_EQ(starts[id], 0) << "seed " << seed;
                }
            }
            ASSERT_LE(starts[id], 1) << "seed " << seed;
            ASSERT_LE(table.size(), small_limits().records);
            ASSERT_LE(table.answer_bytes(), small_limits().answer_bytes);
        }
    }
}

} // namespace
} // namespace endivehinge
