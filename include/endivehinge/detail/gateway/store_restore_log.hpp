#ifndef ENDIVEHINGE_DETAIL_GATEWAY_STORE_RESTORE_LOG_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_STORE_RESTORE_LOG_HPP

#include <array>    // array
#include <cstddef>  // size_t
#include <optional> // optional

#include <endivehinge/detail/gateway/event_log.hpp>
#include <endivehinge/detail/gateway/replica_versions.hpp>
#include <endivehinge/detail/gateway/restored_copy.hpp>

namespace endivehinge::detail
{

/// @brief writes one log line per restore of the store, once the copies of all
/// kinds are of the new era
/// @note thread safety: none; used on the event loop only
class store_restore_log
{
public:
    explicit store_restore_log(event_log & events);

    /// @brief notes that a list of a newer era replaced a copy
    /// @param versions of all copies, after the replacement
    void record(restored_copy const & copy, replica_versions const & versions);

private:
    [[nodiscard]] std::string positions_of(object_kind kind) const;

    event_log & log;
    std::array<std::optional<restored_copy>, object_kind_count> copies;
};

} // namespace endivehinge::detail

#endif
