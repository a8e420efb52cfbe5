#ifndef ENDIVEHINGE_POLICY_EXECUTION_RESULT_HPP
#define ENDIVEHINGE_POLICY_EXECUTION_RESULT_HPP

namespace endivehinge
{

/// @brief how a run at the target ended, as evidence of what it can bear
enum class execution_result
{
    succeeded, // a whole answer
    failed,    // no answer, or an answer that says the target is broken
    shed,      // the target itself refused the request
    abandoned, // the caller gave up: says nothing of the target
};

} // namespace endivehinge

#endif
