#ifndef ENDIVEHINGE_TESTS_SOAK_SOAK_REQUEST_HPP
#define ENDIVEHINGE_TESTS_SOAK_SOAK_REQUEST_HPP

#include <optional> // optional
#include <string>   // string

#include <endivehinge/core/clock.hpp>

namespace endivehinge::tests
{

/// @brief one request of a soak's clients, and what came of it
struct soak_request
{
    std::string id;
    bool idempotent = false;
    std::string path;
    // the member whose node it was sent to
    std::size_t member = 0;
    // since the start of the soak
    duration sent{0};
    duration time_limit{0};
    // the rest is set at its end
    std::optional<duration> ended;
    // 0: no whole response
    unsigned status = 0;
    std::string body;
    std::string detail;
};

} // namespace endivehinge::tests

#endif
