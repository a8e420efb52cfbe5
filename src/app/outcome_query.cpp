#include <endivehinge/detail/node/outcome_query.hpp>

#include <algorithm> // clamp
#include <memory>    // make_shared
#include <utility>   // move

#include <absl/strings/numbers.h> // SimpleAtoi
#include <absl/strings/str_cat.h> // StrCat

#include <endivehinge/core/header_names.hpp>
#include <endivehinge/detail/node/hop_codec.hpp>

namespace endivehinge::detail
{
namespace
{

using std::chrono::milliseconds;

constexpr char const * query_path = "/.endivehinge/outcome";
constexpr char const * state_header = "Endivehinge-State";
constexpr int status_ok = 200;
constexpr std::int64_t longest_patience_ms = 1000;

struct named_state
{
    execution_state state;
    char const * name;
};

constexpr named_state state_names[] = {
    {execution_state::running, "running"},
    {execution_state::finished, "finished"},
    {execution_state::fenced, "fenced"},
    {execution_state::indeterminate, "indeterminate"},
};

char const * name_of(execution_state state)
{
    for (auto const & candidate : state_names)
    {
        if (candidate.state == state)
        {
            return candidate.name;
        }
    }
    return "indeterminate";
}

std::string text_of(http_headers const & headers, char const * name)
{
    std::string const * const text = headers.find(name);
    return text == nullptr ? std::string() : *text;
}

} // namespace

bool is_outcome_query(http_request const & message)
{
    return message.path == query_path;
}

http_request encode_outcome_query(outcome_query const & query)
{
    auto const wait_limit =
        std::chrono::duration_cast<milliseconds>(query.wait_limit).count();
    http_request message{"GET", query_path, {}, {}};
    message.headers.set(header_names::try_id, query.try_id.value());
    message.headers.set(header_names::sent_to_run,
                        absl::StrCat(query.addressed_incarnation.value()));
    message.headers.set(header_names::timeout_ms, absl::StrCat(wait_limit));
    return message;
}

std::optional<outcome_query> decode_outcome_query(http_request const & message)
{
    outcome_query query;
    std::uint64_t run = 0;
    std::int64_t patience_ms = 0;
    auto const & headers = message.headers;
    query.try_id = request_id(text_of(headers, header_names::try_id));
    if (query.try_id.value().empty() ||
        !absl::SimpleAtoi(text_of(headers, header_names::sent_to_run), &run) ||
        !absl::SimpleAtoi(text_of(headers, header_names::timeout_ms),
                          &patience_ms))
    {
        return std::nullopt;
    }
    query.addressed_incarnation = incarnation(run);
    query.wait_limit = milliseconds(
        std::clamp<std::int64_t>(patience_ms, 0, longest_patience_ms));
    return query;
}

http_response encode_execution_report(execution_report const & report)
{
    http_response response;
    response.status = status_ok;
    if (report.state == execution_state::finished)
    {
        response = encode_hop_outcome(*report.result);
    }
    response.headers.set(state_header, name_of(report.state));
    return response;
}

std::optional<execution_report> decode_execution_report(http_response response)
{
    std::string const name = text_of(response.headers, state_header);
    response.headers.remove(state_header);
    for (auto const & candidate : state_names)
    {
        if (name != candidate.name)
        {
            continue;
        }
        execution_report report;
        report.state = candidate.state;
        if (report.state == execution_state::finished)
        {
            report.result = std::make_shared<outcome const>(
                decode_hop_outcome(std::move(response)));
        }
        return report;
    }
    return std::nullopt;
}

} // namespace endivehinge::detail
