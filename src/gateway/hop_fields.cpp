#include <endivehinge/detail/gateway/hop_fields.hpp>

#include <vector> // vector

#include <absl/strings/numbers.h>   // SimpleAtod, SimpleAtoi
#include <absl/strings/str_cat.h>   // StrCat
#include <absl/strings/str_split.h> // StrSplit

#include <endivehinge/detail/gateway/store_adapter.hpp>

namespace endivehinge::detail
{

namespace http = boost::beast::http;

namespace
{

// the run of the target, the route, the service of the caller, the request id
constexpr char const * target_field = "Endivehinge-Target";
constexpr char const * route_field = "Endivehinge-Route";
constexpr char const * caller_field = "Endivehinge-Caller";
constexpr char const * id_field = "Endivehinge-Id";
constexpr char const * flight_field = "Endivehinge-Flight";
// where the sender takes requests, versions of its copies of the store
constexpr char const * sender_field = "Endivehinge-Sender";
// microseconds until the target time and the deadline, rank, idempotent, what
// to do while the target is slow
constexpr char const * urgency_field = "Endivehinge-Urgency";
// outcome, from the service, reached, waited, ran and retry after in
// microseconds, why the gate refused, versions of the copies of the store
constexpr char const * outcome_field = "Endivehinge-Outcome";
constexpr char const * reason_field = "Endivehinge-Reason";
// running, waiting, limit, slowdown, failure share, closed
constexpr char const * load_field = "Endivehinge-Load";

std::int64_t microseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
}

std::string take(header_fields & fields, char const * name)
{
    auto const found = fields.find(name);
    if (found == fields.end())
    {
        return {};
    }
    std::string value(found->value());
    fields.erase(found);
    return value;
}

/// @brief numbers separated by spaces; empty where one does not parse
std::vector<double> read_numbers(std::string const & text)
{
    std::vector<double> numbers;
    for (absl::string_view const part :
         absl::StrSplit(text, ' ', absl::SkipEmpty()))
    {
        double value = 0;
        if (!absl::SimpleAtod(part, &value))
        {
            return {};
        }
        numbers.push_back(value);
    }
    return numbers;
}

duration from_microseconds(double count)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::micro>(count));
}

std::optional<target_load> read_load(std::string const & text)
{
    auto const numbers = read_numbers(text);
    if (numbers.size() != 6)
    {
        return std::nullopt;
    }
    target_load load;
    load.running = static_cast<std::uint32_t>(numbers[0]);
    load.waiting = static_cast<std::uint32_t>(numbers[1]);
    load.limit = static_cast<std::uint32_t>(numbers[2]);
    load.slowdown = numbers[3];
    load.failure_share = numbers[4];
    load.closed = numbers[5] != 0;
    return load;
}

std::string write_load(target_load const & load)
{
    return absl::StrCat(load.running,
                        " ",
                        load.waiting,
                        " ",
                        load.limit,
                        " ",
                        load.slowdown,
                        " ",
                        load.failure_share,
                        " ",
                        load.closed ? 1 : 0);
}

std::string write_versions(replica_versions const & versions)
{
    return absl::StrCat(versions.kinds[0].value(),
                        " ",
                        versions.kinds[1].value(),
                        " ",
                        versions.kinds[2].value());
}

replica_versions read_versions(std::vector<double> const & numbers,
                               std::size_t first)
{
    replica_versions versions;
    for (std::size_t i = 0; i < versions.kinds.size(); ++i)
    {
        versions.kinds[i] =
            object_version(static_cast<std::uint64_t>(numbers[first + i]));
    }
    return versions;
}

} // namespace

void write_hop_request(dispatch_request & request,
                       hop_sender const & sender,
                       time_point now)
{
    auto & message = request.message;
    message.set(sender_field,
                absl::StrCat(sender.peer.to_string(),
                             " ",
                             write_versions(sender.versions)));
    message.set(target_field, request.target.value());
    message.set(route_field, request.route);
    message.set(caller_field, request.caller.value());
    message.set(id_field, request.id);
    message.set(flight_field, request.in_flight_id);
    message.set(urgency_field,
                absl::StrCat(microseconds(request.urgency.target_time - now),
                             " ",
                             microseconds(request.urgency.deadline - now),
                             " ",
                             request.urgency.rank,
                             " ",
                             request.idempotent ? 1 : 0,
                             " ",
                             static_cast<int>(request.slow_target)));
}

std::optional<hop_sender> read_hop_sender(request_message & message)
{
    auto const text = take(message, sender_field);
    auto const space = text.find(' ');
    if (space == std::string::npos)
    {
        return std::nullopt;
    }
    failure reason;
    auto const peer = endpoint::parse(text.substr(0, space), reason);
    auto const numbers = read_numbers(text.substr(space));
    if (!peer || numbers.size() != object_kind_count)
    {
        return std::nullopt;
    }
    return hop_sender{*peer, read_versions(numbers, 0), {}};
}

std::optional<dispatch_request> read_hop_request(request_message message,
                                                 time_point now)
{
    auto const numbers = read_numbers(take(message, urgency_field));
    dispatch_request request;
    request.target = target_id(take(message, target_field));
    request.route = take(message, route_field);
    request.caller = service_name(take(message, caller_field));
    request.id = take(message, id_field);
    request.in_flight_id = take(message, flight_field);
    if (numbers.size() != 5 || request.target.value().empty() ||
        numbers[4] < 0 ||
        numbers[4] > static_cast<int>(slow_target_action::start_or_refuse))
    {
        return std::nullopt;
    }
    request.urgency.target_time = now + from_microseconds(numbers[0]);
    request.urgency.deadline = now + from_microseconds(numbers[1]);
    request.urgency.rank = static_cast<std::uint32_t>(numbers[2]);
    request.idempotent = numbers[3] != 0;
    request.slow_target =
        static_cast<slow_target_action>(static_cast<int>(numbers[4]));
    request.message = std::move(message);
    return request;
}

response_message write_hop_result(dispatch_result result,
                                  replica_versions const & versions)
{
    response_message message = std::move(result.response);
    if (result.outcome != dispatch_outcome::answered)
    {
        message = response_message{result.outcome == dispatch_outcome::refused
                                       ? http::status::service_unavailable
                                       : http::status::bad_gateway,
                                   11};
        message.set(reason_field, result.reason);
        message.prepare_payload();
    }
    message.set(outcome_field,
                absl::StrCat(static_cast<int>(result.outcome),
                             " ",
                             result.from_service ? 1 : 0,
                             " ",
                             result.reached_target ? 1 : 0,
                             " ",
                             microseconds(result.waited),
                             " ",
                             microseconds(result.ran),
                             " ",
                             microseconds(result.retry_after),
                             " ",
                             static_cast<int>(result.refusal),
                             " ",
                             write_versions(versions)));
    if (result.load)
    {
        message.set(load_field, write_load(*result.load));
    }
    return message;
}

std::optional<dispatch_result> read_hop_result(response_message message,
                                               replica_versions & versions)
{
    auto const numbers = read_numbers(take(message, outcome_field));
    constexpr std::size_t own_numbers = 7;
    if (numbers.size() != own_numbers + object_kind_count || numbers[0] < 0 ||
        numbers[0] > static_cast<int>(dispatch_outcome::indeterminate) ||
        numbers[6] < 0 ||
        numbers[6] > static_cast<int>(admission_refusal::other_incarnation))
    {
        return std::nullopt;
    }
    dispatch_result result;
    result.outcome =
        static_cast<dispatch_outcome>(static_cast<int>(numbers[0]));
    result.from_service = numbers[1] != 0;
    result.reached_target = numbers[2] != 0;
    result.waited = from_microseconds(numbers[3]);
    result.ran = from_microseconds(numbers[4]);
    result.retry_after = from_microseconds(numbers[5]);
    result.refusal =
        static_cast<admission_refusal>(static_cast<int>(numbers[6]));
    versions = read_versions(numbers, own_numbers);
    result.reason = take(message, reason_field);
    result.load = read_load(take(message, load_field));
    result.response = std::move(message);
    return result;
}

void remove_hop_fields(header_fields & fields)
{
    for (auto const * const name : {target_field,
                                    flight_field,
                                    sender_field,
                                    route_field,
                                    caller_field,
                                    id_field,
                                    urgency_field,
                                    outcome_field,
                                    reason_field,
                                    load_field})
    {
        fields.erase(name);
    }
}

} // namespace endivehinge::detail
