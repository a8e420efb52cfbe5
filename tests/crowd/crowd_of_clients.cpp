#include "crowd_test.hpp"

namespace endivehinge::tests
{
namespace
{

using std::chrono::milliseconds;

// how long a node may take to end connections that make no progress
constexpr milliseconds closing_time(60000);

class crowd_of_clients : public crowd_test
{
};

// ---------------------------------------------------------------------------
// many large bodies at once
// ---------------------------------------------------------------------------

TEST_F(crowd_of_clients, many_large_bodies_at_once)
{
    this->start({});
    this->add(door::callers,
              120,
              script_with_length(upload_line, parts_per_mebibyte));
    this->run();
    this->check();
}

TEST_F(crowd_of_clients, many_large_bodies_piece_by_piece)
{
    this->start({});
    auto script = script_with_length(upload_line, parts_per_mebibyte);
    script.pause = milliseconds(100);
    this->add(door::callers, 120, script);
    this->run();
    this->check();
}

TEST_F(crowd_of_clients, many_bodies_that_stop_short_of_their_end)
{
    this->start({});
    auto script = script_with_length(upload_line, parts_per_mebibyte);
    script.missing_bytes = 1;
    this->add(door::callers, 120, script);
    this->run();
    this->check();
}

TEST_F(crowd_of_clients, many_chunked_bodies_that_stop_short_of_their_end)
{
    this->start({});
    this->add(door::callers,
              120,
              script_in_chunks(upload_line, parts_per_mebibyte - 1));
    this->run();
    this->check();
}

TEST_F(crowd_of_clients, many_bodies_that_end_byte_by_byte)
{
    this->start({});
    client_script script;
    script.opening =
        script_with_length(upload_line, parts_per_mebibyte).opening +
        std::string((parts_per_mebibyte - 1) * part_bytes, 'x');
    script.part = "x";
    script.parts = 1000;
    script.pause = milliseconds(500);
    this->add(door::callers, 120, script);
    this->run();
    this->check();
}

TEST_F(crowd_of_clients, many_bodies_over_the_limit_without_a_length)
{
    this->start({});
    this->add(door::callers,
              100,
              script_in_chunks(upload_line, 64 * parts_per_mebibyte));
    this->run();
    this->check();
}

// ---------------------------------------------------------------------------
// heads, trailers, requests in a row, responses that are not read
// ---------------------------------------------------------------------------

TEST_F(crowd_of_clients, many_heads_that_do_not_end)
{
    crowd_limits small;
    small.memory_mebibytes = 32;
    this->start(small);
    client_script script;
    script.opening = "GET /safe/head HTTP/1.1\r\nHost: h.example\r\nX: " +
                     std::string(15900, 'x');
    this->add(door::callers, 1500, script);
    this->run();
    this->check();
}

TEST_F(crowd_of_clients, trailers_without_end_are_ended)
{
    crowd_limits short_time;
    short_time.header_timeout_s = 0.25;
    this->start(short_time);
    client_script script;
    script.opening =
        request_text(upload_line, "Transfer-Encoding: chunked\r\n") +
        "1\r\nx\r\n0\r\n";
    script.part = "X-T: t\r\n";
    script.parts = 1000;
    script.pause = milliseconds(250);
    this->add(door::callers, 60, script);
    this->run(milliseconds(1000));
    EXPECT_TRUE(this->crowd->run_until_closed(closing_time));
    this->check();
}

TEST_F(crowd_of_clients, many_requests_in_a_row)
{
    crowd_limits small;
    small.memory_mebibytes = 32;
    this->start(small);
    client_script script;
    script.part = request_text("GET /safe/row", "");
    script.parts = 3000;
    this->add(door::callers, 200, script);
    this->run();
    this->check();
}

TEST_F(crowd_of_clients, many_requests_whose_responses_are_not_read)
{
    this->start({});
    client_script script;
    script.part = request_text("GET /safe/large", "");
    script.parts = 16;
    script.pause = milliseconds(200);
    script.reads = false;
    this->add(door::callers, 200, script);
    this->stay(milliseconds(5000));
    this->check();
}

// ---------------------------------------------------------------------------
// open connections
// ---------------------------------------------------------------------------

TEST_F(crowd_of_clients, connections_without_a_request_stay_under_max_fds)
{
    crowd_limits few;
    few.descriptors = 500;
    this->start(few);
    this->add(door::callers, 600, {});
    this->run(milliseconds(3000));
    this->check();
}

TEST_F(crowd_of_clients, connections_to_all_listeners_stay_under_max_fds)
{
    crowd_limits few;
    few.descriptors = 500;
    this->start(few);
    for (auto const listener :
         {door::callers, door::nodes, door::readiness, door::reports})
    {
        this->add(listener, 200, {});
    }
    this->run(milliseconds(3000));
    this->check();
}

TEST_F(crowd_of_clients, connections_without_a_request_leave_room_for_others)
{
    crowd_limits long_idle;
    long_idle.idle_timeout_s = 300;
    this->start(long_idle);
    this->add(door::callers, 2500, {});
    this->run(milliseconds(3000));
    this->check();
}

TEST_F(crowd_of_clients, mixed_clients)
{
    this->start({});
    auto slow = script_with_length(upload_line, parts_per_mebibyte);
    slow.pause = milliseconds(100);
    auto short_of_end = script_with_length(upload_line, parts_per_mebibyte);
    short_of_end.missing_bytes = 1;
    client_script row;
    row.part = request_text("GET /safe/row", "");
    row.parts = 1000;
    this->add(door::callers, 40, slow);
    this->add(door::callers, 40, short_of_end);
    this->add(door::nodes, 40, short_of_end);
    this->add(door::reports, 40, short_of_end);
    this->add(door::callers,
              40,
              script_in_chunks(upload_line, 64 * parts_per_mebibyte));
    this->add(door::callers, 40, row);
    this->add(door::callers, 40, {});
    this->run();
    this->check();
}

} // namespace
} // namespace endivehinge::tests
