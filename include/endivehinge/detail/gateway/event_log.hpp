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

/// @brief a name and value in a log line
struct event_field
{
    std::string_view name;
    std::string value;
};

/// @brief writes each event as one structured line to a file descriptor
///
/// Never blocks: lines that do not fit into the output are dropped and counted.
/// Each event name has a limit of lines per second.
/// @note thread safety: none; used on the event loop only
class event_log
{
public:
    /// @param name the node name, written on each line
    /// @param descriptor the file descriptor that receives the lines
    event_log(std::string name, int descriptor);

    /// @brief writes one line unless the rate limit of its event is exceeded
    /// @param event a stable name, such as "request_done"
    void write(std::string_view event,
               std::initializer_list<event_field> fields);

    /// @brief number of lines dropped since the start
    [[nodiscard]] std::uint64_t dropped_count() const;

private:
    struct line_budget
    {
        token_bucket rate_limit;
        std::uint64_t dropped = 0;
    };

    [[nodiscard]] bool consume_budget(std::string_view event,
                                      std::uint64_t & suppressed);
    void write_line(std::string const & line);

    std::string node;
    int output;
    absl::flat_hash_map<std::string, line_budget> budgets;
    std::uint64_t dropped = 0;
};

} // namespace endivehinge::detail

#endif
