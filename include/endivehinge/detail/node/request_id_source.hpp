#ifndef ENDIVEHINGE_DETAIL_NODE_REQUEST_ID_SOURCE_HPP
#define ENDIVEHINGE_DETAIL_NODE_REQUEST_ID_SOURCE_HPP

#include <atomic>  // atomic
#include <cstdint> // uint64_t
#include <string>  // string

#include <absl/strings/str_cat.h> // StrCat

#include <endivehinge/core/ids.hpp>

namespace endivehinge::detail
{

/// @brief generates request IDs of the form NODE-INCARNATION-COUNTER
/// @note thread safety: any thread
class request_id_source
{
public:
    request_id_source(node_name const & node, incarnation incarnation_number)
        : prefix(
              absl::StrCat(node.value(), "-", incarnation_number.value(), "-"))
    {
    }

    /// @brief returns an ID that no earlier call returned
    [[nodiscard]] request_id next()
    {
        return request_id(absl::StrCat(this->prefix, ++this->counter));
    }

private:
    std::string prefix;
    std::atomic<std::uint64_t> counter{0};
};

} // namespace endivehinge::detail

#endif
