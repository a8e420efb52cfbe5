#include <common/chain_caller.hpp>

#include <utility> // move

#include <absl/strings/str_cat.h> // StrCat
#include <absl/time/clock.h>      // Now

#include <common/json_response.hpp>
#include <endivehinge/core/header_names.hpp>

namespace endivehinge::tools
{
namespace
{

void forward(http_request const & above, http_request & next, char const * name)
{
    if (auto const * const value = above.headers.find(name))
    {
        next.headers.set(name, *value);
    }
}

} // namespace

chain_caller::chain_caller(std::optional<endpoint> ingress)
    : node(std::move(ingress))
{
}

bool chain_caller::call(http_request const & above,
                        request_marks const & marks,
                        absl::Time deadline)
{
    if (marks.chain.empty())
    {
        return true;
    }
    auto const left = absl::ToInt64Milliseconds(deadline - absl::Now());
    if (!this->node.has_value() || left <= 0)
    {
        return false;
    }
    request_marks rest = marks;
    rest.chain.erase(rest.chain.begin());
    rest.call = absl::StrCat(marks.call, "/", marks.chain.front());
    rest.attempt = absl::StrCat(marks.attempt, "/", marks.chain.front());
    rest.payload_bytes = 0;
    http_request next;
    next.method = "GET";
    next.path =
        absl::StrCat("/", marks.chain.front(), "/chain", write_marks(rest));
    next.headers.set(header_names::timeout_ms, absl::StrCat(left));
    forward(above, next, header_names::depth);
    forward(above, next, header_names::priority);
    detail::http_exchange_options options;
    options.timeout = std::chrono::milliseconds(left);
    detail::http_exchange_report report;
    failure reason;
    auto const answer =
        this->client.exchange(*this->node, next, options, report, reason);
    return answer.has_value() && answer->status == status_ok;
}

} // namespace endivehinge::tools
