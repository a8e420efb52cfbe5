#ifndef ENDIVEHINGE_DETAIL_NODE_REQUEST_ID_SOURCE_HPP
#define ENDIVEHINGE_DETAIL_NODE_REQUEST_ID_SOURCE_HPP

#include <atomic>  // atomic
#include <cstdint> // uint64_t
#include <string>  // string

#include <absl/strings/str_cat.h> // StrCat

#include <endivehinge/core/ids.hpp>

namespace endivehinge::detail
{

/// @brief ids of the form NODE-RUN-COUNTER, each given once
/// @note thread safety: any thread
class request_id_source
{
public:
    request_id_source(node_name const & node, incarnation run)
        : prefix(absl::StrCat(node.value(), "-", run.value(), "-"))
    {
    }

    /// @brief an id that was never given before
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
