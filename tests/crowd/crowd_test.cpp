#include "crowd_test.hpp"

#include <algorithm> // max
#include <iostream>  // cout

#include <sys/resource.h> // getrlimit, setrlimit

namespace endivehinge::tests
{

void crowd_test::SetUpTestSuite()
{
    rlimit files{};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &files);
}

void crowd_test::start(crowd_limits const & chosen)
{
    this->limits = chosen;
    this->fleet = std::make_unique<crowd_fleet>(chosen);
    ASSERT_TRUE(this->fleet->answers_ordinary_request());
}

void crowd_test::add(door listener,
                     std::size_t count,
                     client_script const & script)
{
    this->crowd->add(
        count, this->fleet->host(), crowd_fleet::port(listener), script);
}

void crowd_test::run(std::chrono::milliseconds time)
{
    this->crowd->run(time,
                     [this]
                     {
                         this->observe();
                     });
}

void crowd_test::stay(std::chrono::milliseconds time)
{
    this->crowd->stay(time,
                      [this]
                      {
                          this->observe();
                      });
}

void crowd_test::observe()
{
    this->peak_memory =
        std::max(this->peak_memory, this->fleet->memory_bytes());
    this->peak_descriptors =
        std::max(this->peak_descriptors, this->fleet->descriptor_count());
}

void crowd_test::check()
{
    EXPECT_TRUE(this->fleet->nodes_live());
    EXPECT_TRUE(this->fleet->answers_ordinary_request()) << "beside the crowd";
    this->observe();
    this->crowd = std::make_unique<client_crowd>();
    EXPECT_TRUE(this->fleet->answers_ordinary_request()) << "after the crowd";
    EXPECT_TRUE(this->fleet->nodes_live());
    EXPECT_LE(this->peak_memory, this->limits.memory_mebibytes * mebibyte);
    EXPECT_LE(this->peak_descriptors, this->limits.descriptors);
    this->RecordProperty("peak_memory_kib",
                         std::to_string(this->peak_memory / 1024));
    this->RecordProperty("peak_descriptors",
                         std::to_string(this->peak_descriptors));
    std::cout << "peak memory " << this->peak_memory / mebibyte
              << " MiB, descriptors " << this->peak_descriptors << "\n";
}

std::string request_text(std::string const & start_line,
                         std::string const & fields)
{
    return start_line +
           " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: c\r\n"
           "Deadline-Ms: 8000\r\n" +
           fields + "\r\n";
}

client_script script_with_length(std::string const & start_line,
                                 std::size_t parts)
{
    client_script script;
    script.opening = request_text(
        start_line,
        "Content-Length: " + std::to_string(parts * part_bytes) + "\r\n");
    script.part = std::string(part_bytes, 'x');
    script.parts = parts;
    return script;
}

client_script script_in_chunks(std::string const & start_line,
                               std::size_t parts)
{
    client_script script;
    script.opening = request_text(start_line, "Transfer-Encoding: chunked\r\n");
    script.part = "8000\r\n" + std::string(part_bytes, 'x') + "\r\n";
    script.parts = parts;
    return script;
}

} // namespace endivehinge::tests
