#ifndef ENDIVEHINGE_DETAIL_NODE_LOCAL_EXECUTOR_HPP
#define ENDIVEHINGE_DETAIL_NODE_LOCAL_EXECUTOR_HPP

#include <cstdint> // uint32_t

#include <absl/synchronization/mutex.h> // Mutex

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/outcome.hpp>
#include <endivehinge/core/request.hpp>
#include <endivehinge/detail/http/http_client.hpp>
#include <endivehinge/detail/node/target_status.hpp>

namespace endivehinge::detail
{

/// @brief the only way into the target beside this node
class local_executor
{
public:
    /// @param client makes the exchanges; outlives the executor
    /// @param time outlives the executor
    local_executor(http_client & client, clock const & time);

    /// @brief takes in what the target says of itself
    /// @note thread safety: any thread
    void update(target_status const & status);

    /// @brief the target as it last announced itself
    /// @note thread safety: any thread
    [[nodiscard]] target_status status() const;

    /// @brief refuses new work from now on; what runs goes on
    /// @note thread safety: any thread
    void stop_admitting();

    /// @brief admits a request and runs it on the target
    /// @param caller_socket watched for hang-up; -1: none
    /// @note thread safety: any thread; blocks until the outcome
    [[nodiscard]] outcome execute(request const & admitted, int caller_socket);

private:
    bool admit(request const & candidate, failure & reason);
    void release();
    outcome run(request const & admitted, int caller_socket);

    http_client & client;
    clock const & time;
    mutable absl::Mutex mutex;
    target_status target;
    std::uint32_t in_flight = 0;
    bool admitting = true;
};

} // namespace endivehinge::detail

#endif
