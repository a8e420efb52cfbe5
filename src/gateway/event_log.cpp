#include <endivehinge/detail/gateway/event_log.hpp>

#include <poll.h>   // poll
#include <unistd.h> // write

#include <utility> // move

#include <absl/strings/str_cat.h>    // StrAppend
#include <absl/strings/str_format.h> // StrFormat
#include <absl/time/clock.h>         // Now
#include <absl/time/time.h>          // FormatTime

#include <endivehinge/core/external_text.hpp>
#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{
namespace
{

// rate limit and burst of each event name; bounds the cost of logging under
// load
constexpr double lines_per_second = 100;
constexpr double burst_lines = 200;
// distinct event names; bounds memory
constexpr std::size_t max_event_kinds = 64;
// bytes that a writable pipe accepts in one write without blocking
constexpr std::size_t max_line_bytes = 4096;

void append_value(std::string & line, std::string const & raw_value)
{
    auto const value = to_printable(raw_value);
    if (!value.empty() && value.find_first_of(" \"=") == std::string::npos)
    {
        line += value;
        return;
    }
    line += '"';
    for (char const character : value)
    {
        if (character == '"' || character == '\\')
        {
            line += '\\';
        }
        line += character;
    }
    line += '"';
}

} // namespace

event_log::event_log(std::string name, int descriptor)
    : node(std::move(name))
    , output(descriptor)
{
}

void event_log::write(std::string_view event,
                      std::initializer_list<event_field> fields)
{
    std::uint64_t suppressed = 0;
    if (!this->consume_budget(event, suppressed))
    {
        this->dropped += 1;
        return;
    }
    std::string line = absl::FormatTime(
        "%Y-%m-%dT%H:%M:%E3SZ", absl::Now(), absl::UTCTimeZone());
    line += " node=";
    line += this->node;
    line += " event=";
    line += event;
    for (auto const & field : fields)
    {
        line += ' ';
        line += field.name;
        line += '=';
        append_value(line, field.value);
    }
    if (suppressed > 0)
    {
        absl::StrAppend(&line, " left_out=", suppressed);
    }
    line += '\n';
    this->write_line(line);
}

std::uint64_t event_log::dropped_count() const
{
    return this->dropped;
}

bool event_log::consume_budget(std::string_view event,
                               std::uint64_t & suppressed)
{
    std::string const key(event);
    auto position = this->budgets.find(key);
    if (position == this->budgets.end())
    {
        if (this->budgets.size() >= max_event_kinds)
        {
            return false;
        }
        position =
            this->budgets
                .emplace(
                    key,
                    line_budget{token_bucket(lines_per_second, burst_lines), 0})
                .first;
    }
    auto & budget = position->second;
    if (!budget.rate_limit.try_take(loop_now()))
    {
        budget.dropped += 1;
        return false;
    }
    suppressed = std::exchange(budget.dropped, 0);
    return true;
}

void event_log::write_line(std::string const & line)
{
    pollfd poll_request{this->output, POLLOUT, 0};
    if (line.size() > max_line_bytes || ::poll(&poll_request, 1, 0) != 1 ||
        (poll_request.revents & POLLOUT) == 0 ||
        ::write(this->output, line.data(), line.size()) < 0)
    {
        this->dropped += 1;
    }
}

} // namespace endivehinge::detail
