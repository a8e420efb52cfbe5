#ifndef ENDIVEHINGE_TOOLS_COMMON_CALL_PLAN_HPP
#define ENDIVEHINGE_TOOLS_COMMON_CALL_PLAN_HPP

#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge::tools
{

/// @brief one kind of call in a mixed load
struct call_kind
{
    // calls of this kind among all, by weight
    int weight = 1;
    std::string method = "GET";
    // below the service's own first segment
    service_name service;
    std::string path = "/";
    bool repeatable = true;
    bool keyed = false;
    bool internal_check = false;
    // services to call from there, one from the other
    std::vector<std::string> chain;
    std::size_t largest_body_bytes = 0;
    std::size_t largest_answer_bytes = 1024;
    duration deadline = std::chrono::seconds(2);
};

/// @brief one call that a caller will make
struct call_plan
{
    call_kind kind;
    std::string call;
    idempotency_key key;
    std::string body;
    std::size_t answer_bytes = 0;
};

} // namespace endivehinge::tools

#endif
