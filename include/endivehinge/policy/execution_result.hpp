#ifndef ENDIVEHINGE_POLICY_EXECUTION_RESULT_HPP
#define ENDIVEHINGE_POLICY_EXECUTION_RESULT_HPP

namespace endivehinge
{

/// @brief how a request ended at the target, as input for its
///        concurrency limit
enum class execution_result
{
    succeeded, // a complete response
    failed,    // no response, or one that reports a fault of the target
    shed,      // the target itself refused the request
    abandoned, // the caller gave up, which says nothing about the target
};

} // namespace endivehinge

#endif
