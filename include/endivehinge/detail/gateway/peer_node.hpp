#ifndef ENDIVEHINGE_DETAIL_GATEWAY_PEER_NODE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_PEER_NODE_HPP

#include <cstdint>    // uint64_t
#include <functional> // function
#include <optional>   // optional

#include <boost/asio/io_context.hpp> // io_context

#include <endivehinge/detail/gateway/target_runner.hpp>
#include <endivehinge/detail/gateway/upstream.hpp>

namespace endivehinge::detail
{

/// @brief another node, and through it the target beside it
///
/// One HTTP request carries one request; closing its connection withdraws it.
/// @note thread safety: none; used on the event loop only
class peer_node final : public target_runner
{
public:
    /// @param on_version is told the version of the configuration at the peer
    peer_node(boost::asio::io_context & loop,
              endpoint const & address,
              std::function<void(std::uint64_t)> on_version);

    [[nodiscard]] cancel_action run(dispatch_request request,
                                    result_handler done) override;

    /// @brief whether the node could not be reached a moment ago
    [[nodiscard]] bool is_suspended(time_point now) const;

    /// @brief requests sent there that have no result yet
    [[nodiscard]] std::uint32_t in_flight() const;

    /// @brief the last load that was heard, and when
    [[nodiscard]] std::optional<target_load> const & load() const;
    [[nodiscard]] time_point load_time() const;

    /// @brief requests sent there after the last load was heard
    [[nodiscard]] std::uint32_t sent_since() const;

    /// @brief share of recent requests there that failed, 0 to 1
    [[nodiscard]] double failure_share() const;

private:
    [[nodiscard]] dispatch_result read_result(call_result result);
    void note(dispatch_result const & result, call_status status);

    boost::asio::io_context & io;
    endpoint peer;
    upstream connections;
    std::function<void(std::uint64_t)> version_action;
    std::optional<target_load> last_load;
    time_point load_heard;
    time_point suspended_until;
    std::uint32_t unreachable = 0;
    std::uint32_t pending = 0;
    std::uint32_t sent = 0;
    double failures = 0;
};

} // namespace endivehinge::detail

#endif
