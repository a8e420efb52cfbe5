#include <endivehinge/detail/gateway/event_log.hpp>

#include <poll.h>   // poll
#include <unistd.h> // write

#include <utility> // move

#include <absl/strings/str_cat.h>    // StrAppend
#include <absl/strings/str_format.h> // StrFormat
#include <absl/time/clock.h>         // Now
#include <absl/time/time.h>          // FormatTime

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{
namespace
{

// lines of one kind of event in a second, and at once; keeps the cost of
// logging bounded under load
constexpr double lines_per_second = 100;
constexpr double burst_of_lines = 200;
// kinds of events; bounds memory
constexpr std::size_t known_events = 64;
// a pipe takes this much at once without blocking when it is writable
constexpr std::size_t largest_line = 4096;

void append_value(std::string & line, std::string const & value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\r") == std::string::npos)
    {
        line += value;
        return;
    }
    line += '"';
    for (char const letter : value)
    {
        if (letter == '"' || letter == '\\')
        {
            line += '\\';
        }
        line += letter == '\n' || letter == '\r' ? ' ' : letter;
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
                      std::initializer_list<event_field> more)
{
    std::uint64_t left_out = 0;
    if (!this->take(event, left_out))
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
    for (auto const & field : more)
    {
        line += ' ';
        line += field.name;
        line += '=';
        append_value(line, field.value);
    }
    if (left_out > 0)
    {
        absl::StrAppend(&line, " left_out=", left_out);
    }
    line += '\n';
    this->send(line);
}

std::uint64_t event_log::dropped_count() const
{
    return this->dropped;
}

bool event_log::take(std::string_view event, std::uint64_t & left_out)
{
    std::string const key(event);
    auto found = this->budgets.find(key);
    if (found == this->budgets.end())
    {
        if (this->budgets.size() >= known_events)
        {
            return false;
        }
        found =
            this->budgets
                .emplace(key,
                         line_budget{
                             token_bucket(lines_per_second, burst_of_lines), 0})
                .first;
    }
    auto & budget = found->second;
    if (!budget.lines.try_take(loop_now()))
    {
        budget.dropped += 1;
        return false;
    }
    left_out = std::exchange(budget.dropped, 0);
    return true;
}

void event_log::send(std::string const & line)
{
    pollfd waiting{this->output, POLLOUT, 0};
    if (line.size() > largest_line || ::poll(&waiting, 1, 0) != 1 ||
        (waiting.revents & POLLOUT) == 0 ||
        ::write(this->output, line.data(), line.size()) < 0)
    {
        this->dropped += 1;
    }
}

} // namespace endivehinge::detail
