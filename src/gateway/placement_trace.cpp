#include <endivehinge/detail/gateway/placement_trace.hpp>

#include <absl/strings/str_cat.h>    // StrAppend
#include <absl/strings/str_format.h> // StrAppendFormat

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{

void placement_trace::add(target_candidate const & candidate,
                          dispatch_result const & result,
                          char const * outcome)
{
    absl::StrAppend(&this->entries,
                    this->entries.empty() ? "" : ",",
                    candidate.id.value(),
                    ":",
                    outcome);
    if (!result.reason.empty())
    {
        absl::StrAppend(&this->entries, ":", result.reason);
    }
    absl::StrAppend(&this->entries,
                    ":waited=",
                    format_milliseconds(result.queue_time),
                    ":ran=",
                    format_milliseconds(result.run_time));
    if (candidate.load)
    {
        absl::StrAppendFormat(&this->entries,
                              ":known=%d+%d/%d*%.2f@%s",
                              candidate.load->running,
                              candidate.load->waiting,
                              candidate.load->limit,
                              candidate.load->slowdown,
                              format_milliseconds(candidate.load_age));
    }
}

std::string const & placement_trace::text() const
{
    return this->entries;
}

} // namespace endivehinge::detail
