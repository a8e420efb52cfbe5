#ifndef ENDIVEHINGE_DETAIL_GATEWAY_EVENT_LOG_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_EVENT_LOG_HPP

#include <cstdint>          // uint64_t
#include <initializer_list> // initializer_list
#include <string>           // string
#include <string_view>      // string_view

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/core/token_bucket.hpp>

namespace endivehinge::detail
{

/// @brief one field of a line
struct event_field
{
    std::string_view name;
    std::string value;
};

/// @brief structured lines on standard output, one an event
///
/// Never blocks: what the reader does not take is dropped and counted. Each
/// kind of event has a budget of lines a second.
/// @note thread safety: none; used on the event loop only
class event_log
{
public:
    /// @param name of this node, on each line
    /// @param descriptor where the lines go
    event_log(std::string name, int descriptor);

    /// @brief writes one line within the budget of its kind
    /// @param event a stable name, such as "request_done"
    void write(std::string_view event, std::initializer_list<event_field> more);

    /// @brief lines that were left out since the start
    [[nodiscard]] std::uint64_t dropped_count() const;

private:
    struct line_budget
    {
        token_bucket lines;
        std::uint64_t dropped = 0;
    };

    [[nodiscard]] bool take(std::string_view event, std::uint64_t & dropped);
    void send(std::string const & line);

    std::string node;
    int output;
    absl::flat_hash_map<std::string, line_budget> budgets;
    std::uint64_t dropped = 0;
};

} // namespace endivehinge::detail

#endif
