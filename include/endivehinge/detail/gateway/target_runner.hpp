#ifndef ENDIVEHINGE_DETAIL_GATEWAY_TARGET_RUNNER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_TARGET_RUNNER_HPP

#include <functional> // function

#include <endivehinge/detail/gateway/dispatch_request.hpp>
#include <endivehinge/detail/gateway/dispatch_result.hpp>

namespace endivehinge::detail
{

/// @brief a way to a target: the gate beside this node, or another node
class target_runner
{
public:
    using result_handler = std::function<void(dispatch_result)>;
    // withdraws the request; the handler is not called afterwards
    using cancel_action = std::function<void()>;

    target_runner() = default;
    target_runner(target_runner const &) = delete;
    target_runner & operator=(target_runner const &) = delete;
    virtual ~target_runner() = default;

    /// @brief runs a request
    /// @param done called once and never before run() returns
    /// @note thread safety: event loop only
    [[nodiscard]] virtual cancel_action run(dispatch_request request,
                                            result_handler done) = 0;
};

} // namespace endivehinge::detail

#endif
