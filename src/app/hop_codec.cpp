#include <endivehinge/detail/node/hop_codec.hpp>

#include <algorithm> // clamp
#include <utility>   // move

#include <absl/strings/numbers.h> // SimpleAtoi
#include <absl/strings/str_cat.h> // StrCat

#include <endivehinge/core/header_names.hpp>

namespace endivehinge::detail
{
namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// no deadline of a configuration is as far away
constexpr std::int64_t longest_ms = std::int64_t{3600} * 1000;
constexpr int status_unavailable = 503;
constexpr int status_unknown = 504;
constexpr char const * role_own = "own";
constexpr char const * role_run = "run";

template <class Number>
std::optional<Number> read_number(http_headers const & headers,
                                  char const * name)
{
    std::string const * const text = headers.find(name);
    Number value{};
    if (text == nullptr || !absl::SimpleAtoi(*text, &value))
    {
        return std::nullopt;
    }
    return value;
}

std::string read_text(http_headers const & headers, char const * name)
{
    std::string const * const text = headers.find(name);
    return text == nullptr ? std::string() : *text;
}

void remove_hop_headers(http_headers & headers)
{
    for (char const * const name : {header_names::role,
                                    header_names::epoch,
                                    header_names::repeatable,
                                    header_names::service,
                                    header_names::timeout_ms,
                                    header_names::request_id,
                                    header_names::try_id,
                                    header_names::suspect,
                                    header_names::depth})
    {
        headers.remove(name);
    }
}

failure missing(char const * header)
{
    return {failure_id::invalid_message,
            "read request of a node",
            {},
            absl::StrCat(header, " is missing or wrong")};
}

// the number behind "u=" of RFC 9218; a wrong one is the default
priority read_priority(http_headers const & headers)
{
    std::string const text = read_text(headers, header_names::priority);
    if (text == "u=0")
    {
        return priority::internal_check;
    }
    return text == "u=2" ? priority::batch : priority::interactive;
}

} // namespace

http_request encode_hop_request(hop_request const & hop, time_point now)
{
    request const & content = hop.content;
    http_request message = content.message;
    auto const left = duration_cast<milliseconds>(content.deadline - now);
    auto & headers = message.headers;
    headers.set(header_names::role,
                hop.role == hop_role::key_owner ? role_own : role_run);
    headers.set(header_names::request_id, content.id.value());
    headers.set(header_names::try_id, hop.try_id.value());
    headers.set(header_names::service, content.service.value());
    headers.set(header_names::timeout_ms, absl::StrCat(left.count()));
    headers.set(header_names::repeatable, content.repeatable ? "1" : "0");
    headers.set(header_names::depth, absl::StrCat(content.depth));
    headers.set(header_names::suspect, content.suspect ? "1" : "0");
    headers.set(header_names::priority,
                absl::StrCat("u=", static_cast<int>(content.urgency)));
    if (content.owner_epoch.has_value())
    {
        headers.set(header_names::epoch,
                    absl::StrCat(content.owner_epoch->value()));
    }
    return message;
}

std::optional<hop_request>
decode_hop_request(http_request message, time_point now, failure & reason)
{
    hop_request hop;
    request & content = hop.content;
    http_headers const & headers = message.headers;
    auto const left =
        read_number<std::int64_t>(headers, header_names::timeout_ms);
    if (!left.has_value())
    {
        reason = missing(header_names::timeout_ms);
        return std::nullopt;
    }
    content.id = request_id(read_text(headers, header_names::request_id));
    content.service = service_name(read_text(headers, header_names::service));
    hop.try_id = request_id(read_text(headers, header_names::try_id));
    if (content.id.value().empty() || content.service.value().empty() ||
        hop.try_id.value().empty())
    {
        reason = missing(header_names::request_id);
        return std::nullopt;
    }
    content.deadline =
        now + milliseconds(std::clamp<std::int64_t>(*left, 0, longest_ms));
    content.urgency = read_priority(headers);
    content.repeatable = read_text(headers, header_names::repeatable) == "1";
    content.suspect = read_text(headers, header_names::suspect) == "1";
    content.depth = read_number<int>(headers, header_names::depth).value_or(0);
    if (auto const * const key = headers.find(header_names::idempotency_key))
    {
        content.key = idempotency_key(*key);
    }
    if (auto const number =
            read_number<std::uint64_t>(headers, header_names::epoch))
    {
        content.owner_epoch = epoch(*number);
    }
    if (read_text(headers, header_names::role) == role_own)
    {
        hop.role = hop_role::key_owner;
    }
    remove_hop_headers(message.headers);
    content.message = std::move(message);
    return hop;
}

http_response encode_hop_outcome(outcome result)
{
    if (result.kind == outcome_kind::answered)
    {
        result.answer.headers.set(header_names::outcome,
                                  to_string(result.kind));
        return std::move(result.answer);
    }
    http_response response;
    response.status = result.kind == outcome_kind::rejected ? status_unavailable
                                                            : status_unknown;
    auto & headers = response.headers;
    headers.set(header_names::outcome, to_string(result.kind));
    headers.set(header_names::failure,
                absl::StrCat(static_cast<int>(result.reason.id),
                             " ",
                             result.reason.step));
    headers.set(
        header_names::retry_after_ms,
        absl::StrCat(duration_cast<milliseconds>(result.retry_after).count()));
    response.body = result.reason.detail;
    return response;
}

outcome decode_hop_outcome(http_response response)
{
    std::string const kind = read_text(response.headers, header_names::outcome);
    if (kind == to_string(outcome_kind::answered))
    {
        response.headers.remove(header_names::outcome);
        return outcome::answered(std::move(response));
    }
    failure reason;
    std::string const text = read_text(response.headers, header_names::failure);
    auto const space = text.find(' ');
    int number = 0;
    reason.id = absl::SimpleAtoi(text.substr(0, space), &number)
                    ? static_cast<failure_id>(number)
                    : failure_id::internal;
    reason.step = space == std::string::npos ? "" : text.substr(space + 1);
    reason.detail = std::move(response.body);
    if (kind == to_string(outcome_kind::rejected))
    {
        auto const wait = read_number<std::int64_t>(
            response.headers, header_names::retry_after_ms);
        return outcome::rejected(std::move(reason),
                                 milliseconds(wait.value_or(0)));
    }
    return outcome::indeterminate(std::move(reason));
}

} // namespace endivehinge::detail
