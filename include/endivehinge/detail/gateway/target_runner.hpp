#ifndef ENDIVEHINGE_DETAIL_GATEWAY_TARGET_RUNNER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_TARGET_RUNNER_HPP

#include <functional> // function

#include <endivehinge/detail/gateway/dispatch_request.hpp>
#include <endivehinge/detail/gateway/dispatch_result.hpp>

namespace endivehinge::detail
{

/// @brief runs requests on a target: the local one or that of another node
class target_runner
{
public:
    using result_handler = std::function<void(dispatch_result)>;
    // called while the request stays in flight
    using silence_handler = std::function<void()>;

    /// @brief controls a request after run(); its handlers are not called after
    /// it was cancelled or withdrawn
    struct control
    {
        std::function<void()> cancel;
        // cancels the request unless it may have been sent to a target or
        // another node; returns whether it was cancelled
        std::function<bool()> withdraw;
    };

    target_runner() = default;
    target_runner(target_runner const &) = delete;
    target_runner & operator=(target_runner const &) = delete;
    virtual ~target_runner() = default;

    /// @brief runs a request
    /// @param done called once, and not before run() returns
    /// @param on_silence called at most once and before done, if the node of
    /// the target does not confirm that it handles the request; done may still
    /// receive any result. Not called before run() returns
    /// @note thread safety: event loop only
    [[nodiscard]] virtual control run(dispatch_request request,
                                      result_handler done,
                                      silence_handler on_silence) = 0;
};

} // namespace endivehinge::detail

#endif
