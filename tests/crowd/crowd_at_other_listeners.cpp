#include "crowd_test.hpp"

namespace endivehinge::tests
{
namespace
{

using std::chrono::milliseconds;

class crowd_at_other_listeners : public crowd_test
{
};

TEST_F(crowd_at_other_listeners, large_bodies_at_the_listener_for_nodes)
{
    this->start({});
    this->add(
        door::nodes, 120, script_with_length(upload_line, parts_per_mebibyte));
    this->run();
    this->check();
}

TEST_F(crowd_at_other_listeners,
       bodies_that_stop_short_at_the_listener_for_nodes)
{
    this->start({});
    auto script = script_with_length(upload_line, parts_per_mebibyte);
    script.missing_bytes = 1;
    this->add(door::nodes, 120, script);
    this->run();
    this->check();
}

class crowd_at_small_listener : public crowd_test,
                                public ::testing::WithParamInterface<door>
{
};

TEST_P(crowd_at_small_listener, large_bodies_that_stop_short)
{
    this->start({});
    auto const * const start_line = "POST /api/instances/i-0/heartbeat";
    auto script = script_with_length(start_line, 8 * parts_per_mebibyte);
    script.missing_bytes = 1;
    this->add(GetParam(), 10, script);
    this->add(GetParam(),
              10,
              script_in_chunks(start_line, 8 * parts_per_mebibyte - 1));
    this->run();
    this->check();
}

INSTANTIATE_TEST_SUITE_P(listeners,
                         crowd_at_small_listener,
                         ::testing::Values(door::readiness,
                                           door::reports,
                                           door::metrics));

} // namespace
} // namespace endivehinge::tests
