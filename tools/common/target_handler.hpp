#ifndef ENDIVEHINGE_TOOLS_COMMON_TARGET_HANDLER_HPP
#define ENDIVEHINGE_TOOLS_COMMON_TARGET_HANDLER_HPP

#include <atomic>   // atomic
#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string

#include <common/behaviour_holder.hpp>
#include <common/chain_caller.hpp>
#include <common/execution_slots.hpp>
#include <common/history_log.hpp>
#include <common/load_report.hpp>
#include <common/service_time.hpp>
#include <common/target_behaviour.hpp>
#include <common/warm_up.hpp>
#include <endivehinge/detail/http/http_handler.hpp>

namespace endivehinge::tools
{

/// @brief what a target stand-in is besides how it behaves
struct target_identity
{
    std::string name;
    std::string history_path;
    std::uint64_t seed = 1;
    // ingress of the node beside, for the target's own calls
    std::optional<endpoint> node;
};

/// @brief runs requests as a target with slots, faults and a history
/// @note answers with its own body, or with its digest where the path names
///       a call
class target_handler final : public detail::http_handler
{
public:
    /// @param holder outlives the handler
    target_handler(target_identity const & identity,
                   behaviour_holder<target_behaviour> & holder);

    [[nodiscard]] http_response
    handle(http_request message, detail::http_connection connection) override;

    /// @brief it turns cold again
    /// @note thread safety: any thread
    void turn_cold();

    /// @brief the phase that it is in now
    /// @note thread safety: any thread
    [[nodiscard]] std::string phase() const;

    /// @brief what it counted
    /// @note thread safety: any thread
    [[nodiscard]] nlohmann::json report() const;

private:
    http_response load(target_behaviour const & behaviour);
    http_response admit(http_request const & message,
                        detail::http_connection connection);
    http_response run(http_request const & message,
                      absl::Time deadline,
                      detail::http_connection connection);
    bool work(detail::http_connection connection);
    void wait_while_frozen(detail::http_connection connection) const;
    void fall_if_overloaded(http_request const & message,
                            target_behaviour const & behaviour);
    void write(history_event event, http_request const & message);
    [[noreturn]] void die(http_request const & message);
    slot_bounds bounds() const;

    std::string name;
    behaviour_holder<target_behaviour> & holder;
    history_log history;
    warm_up warmth;
    service_time times;
    load_report loads;
    chain_caller chain;
    execution_slots slots;
    // requests that came in and were not answered yet
    std::atomic<bool> dying{false};
    std::atomic<std::int64_t> present{0};
    std::atomic<std::uint64_t> started{0};
    std::atomic<std::uint64_t> shed{0};
    std::atomic<std::uint64_t> stopped{0};
    std::atomic<std::uint64_t> load_reads{0};
    std::atomic<std::int64_t> most_running{0};
};

} // namespace endivehinge::tools

#endif
