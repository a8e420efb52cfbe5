#include <endivehinge/detail/gateway/placement_trace.hpp>

#include <absl/strings/str_cat.h>    // StrAppend
#include <absl/strings/str_format.h> // StrAppendFormat

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{

void placement_trace::add(target_candidate const & known,
                          dispatch_result const & result,
                          char const * what)
{
    absl::StrAppend(&this->parts,
                    this->parts.empty() ? "" : ",",
                    known.id.value(),
                    ":",
                    what);
    if (!result.reason.empty())
    {
        absl::StrAppend(&this->parts, ":", result.reason);
    }
    absl::StrAppend(&this->parts,
                    ":waited=",
                    format_milliseconds(result.waited),
                    ":ran=",
                    format_milliseconds(result.ran));
    if (known.load)
    {
        absl::StrAppendFormat(&this->parts,
                              ":known=%d+%d/%d*%.2f@%s",
                              known.load->running,
                              known.load->waiting,
                              known.load->limit,
                              known.load->slowdown,
                              format_milliseconds(known.load_age));
    }
}

std::string const & placement_trace::text() const
{
    return this->parts;
}

} // namespace endivehinge::detail
