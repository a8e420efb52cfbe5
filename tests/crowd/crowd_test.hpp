#ifndef ENDIVEHINGE_TESTS_CROWD_CROWD_TEST_HPP
#define ENDIVEHINGE_TESTS_CROWD_CROWD_TEST_HPP

#include <chrono>  // milliseconds
#include <cstdint> // uint64_t
#include <memory>  // make_unique, unique_ptr
#include <string>  // string

#include <gtest/gtest.h>

#include "client_crowd.hpp"
#include "crowd_fleet.hpp"

namespace endivehinge::tests
{

constexpr std::uint64_t mebibyte = std::uint64_t{1} << 20;
constexpr std::size_t part_bytes = 32768;
constexpr std::size_t parts_per_mebibyte = mebibyte / part_bytes;
// how long a crowd sends at most
constexpr std::chrono::milliseconds crowd_sending_time(10000);
constexpr char const * upload_line = "PUT /safe/upload";

/// @brief one crowd at one node, and what the node occupied meanwhile
///
/// The checks do not depend on the speed of the machine.
class crowd_test : public ::testing::Test
{
protected:
    /// @brief raises the limit on open files to the highest one allowed
    static void SetUpTestSuite();

    /// @brief starts the nodes, and waits until one answers
    void start(crowd_limits const & chosen);

    void add(door listener, std::size_t count, client_script const & script);

    /// @brief runs the crowd until each client has sent its script
    void run(std::chrono::milliseconds time = crowd_sending_time);

    /// @brief runs the crowd for a time
    void stay(std::chrono::milliseconds time);

    /// @brief notes what the nodes occupy now
    void observe();

    /// @brief checks what must hold for any clients, first while they are still
    /// connected, then after they have gone
    void check();

    crowd_limits limits;
    std::unique_ptr<crowd_fleet> fleet;
    std::unique_ptr<client_crowd> crowd = std::make_unique<client_crowd>();
    std::uint64_t peak_memory = 0;
    std::size_t peak_descriptors = 0;
};

/// @brief the head of a request of an ordinary client
/// @param fields each with its line end
[[nodiscard]] std::string request_text(std::string const & start_line,
                                       std::string const & fields);

/// @brief sends a body with a length in parts of part_bytes
[[nodiscard]] client_script script_with_length(std::string const & start_line,
                                               std::size_t parts);

/// @brief sends a body without its end, in chunks of part_bytes
[[nodiscard]] client_script script_in_chunks(std::string const & start_line,
                                             std::size_t parts);

} // namespace endivehinge::tests

#endif
