#ifndef ENDIVEHINGE_DETAIL_GATEWAY_STORE_ERA_READER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_STORE_ERA_READER_HPP

#include <functional> // function
#include <optional>   // optional

#include <endivehinge/coordination/store_era_tracker.hpp>
#include <endivehinge/detail/gateway/event_log.hpp>
#include <endivehinge/detail/gateway/store_adapter.hpp>

namespace endivehinge::detail
{

/// @brief reads the era of all answers of the store to this node
/// @note thread safety: none; used on the event loop only
class store_era_reader
{
public:
    store_era_reader(store_adapter const & codec, event_log & events);

    /// @brief sets the callback for a newer era than the newest one known,
    /// which runs before read() or learn() returns
    void on_rise(std::function<void()> callback);

    /// @brief the era that the positions in an answer belong to
    ///
    /// An answer that states none is of the era last known.
    /// @return nullopt if the answer is of an earlier era; its content is
    /// outdated
    [[nodiscard]] std::optional<store_era>
    read(response_message const & answer);

    /// @brief notes an era that another node told
    void learn(store_era era);

    [[nodiscard]] store_era newest() const;

private:
    [[nodiscard]] bool note(store_era era);

    store_adapter const & adapter;
    event_log & log;
    store_era_tracker tracker;
    std::function<void()> rise_callback;
    bool unknown_logged = false;
};

} // namespace endivehinge::detail

#endif
