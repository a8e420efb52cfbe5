#ifndef ENDIVEHINGE_DETAIL_NODE_LOCAL_EXECUTOR_HPP
#define ENDIVEHINGE_DETAIL_NODE_LOCAL_EXECUTOR_HPP

#include <absl/synchronization/mutex.h> // Mutex

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/core/outcome.hpp>
#include <endivehinge/core/request.hpp>
#include <endivehinge/detail/http/http_client.hpp>
#include <endivehinge/detail/node/shared_quarantine.hpp>
#include <endivehinge/detail/node/target_admission.hpp>
#include <endivehinge/detail/node/target_client.hpp>
#include <endivehinge/detail/node/target_status.hpp>

namespace endivehinge::detail
{

/// @brief the only way into the target beside this node
class local_executor
{
public:
    /// @param self names this node in what it tells of a crash
    /// @param client makes the exchanges; outlives the executor
    /// @param quarantine outlives the executor
    /// @param time outlives the executor
    local_executor(node_name self,
                   http_client & client,
                   shared_quarantine & quarantine,
                   clock const & time);

    /// @brief takes in what the target says of itself
    /// @note thread safety: any thread
    void update(target_status const & status);

    /// @brief takes the target out of service or puts it back; it comes back
    ///        like a target that has just started
    /// @note thread safety: any thread
    void set_drained(bool drained);

    /// @brief what the operators allow to be sent to the target besides the
    ///        requests; see target_client::set_extra_request_limits
    /// @note thread safety: any thread
    void set_extra_request_limits(double second_send_share,
                                  double checks_per_second);

    /// @brief the target as it last announced itself
    /// @note thread safety: any thread
    [[nodiscard]] target_status status() const;

    /// @brief refuses new work from now on; what runs goes on
    /// @note thread safety: any thread
    void stop_admitting();

    /// @brief the load of the target, for other nodes
    /// @note thread safety: any thread
    [[nodiscard]] load_signal load() const;

    /// @brief admits a request and runs it on the target
    /// @param caller_socket watched for hang-up; -1: none
    /// @note thread safety: any thread; blocks until the outcome
    [[nodiscard]] outcome execute(request const & offered, int caller_socket);

private:
    void announce_to_gate();
    outcome admit_and_run(request const & offered,
                          request_fingerprint fingerprint,
                          bool alone,
                          int caller_socket);
    bool has_died(target_status const & before);
    void report_crash(request_fingerprint fingerprint,
                      target_status const & before,
                      bool alone);

    node_name self;
    shared_quarantine & quarantine;
    target_client target_exchanges;
    target_admission gate;
    mutable absl::Mutex mutex;
    target_status target;
    bool drained = false;
    std::uint64_t returns_to_service = 0;
};

} // namespace endivehinge::detail

#endif
