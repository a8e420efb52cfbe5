#include <endivehinge/detail/gateway/hop_fields.hpp>

#include <array>  // array, tuple_size_v
#include <vector> // vector

#include <absl/strings/numbers.h>   // SimpleAtod, SimpleAtoi, SimpleHexAtoi
#include <absl/strings/str_cat.h>   // StrAppend, StrCat
#include <absl/strings/str_split.h> // StrSplit

namespace endivehinge::detail
{

namespace http = boost::beast::http;

namespace
{

constexpr char const * target_field = "Endivehinge-Target";
constexpr char const * service_field = "Endivehinge-Service";
constexpr char const * route_field = "Endivehinge-Route";
constexpr char const * caller_field = "Endivehinge-Caller";
constexpr char const * request_id_field = "Endivehinge-Id";
constexpr char const * in_flight_id_field = "Endivehinge-Flight";
// peer address of the sender, versions of its replicas
constexpr char const * sender_field = "Endivehinge-Sender";
// microseconds until the target time, microseconds until the deadline, rank,
// idempotent, action while the target is slow
constexpr char const * urgency_field = "Endivehinge-Urgency";
// outcome, from service, reached target, queue time, run time and retry after
// in microseconds, reason of the refusal, versions of the replicas
constexpr char const * outcome_field = "Endivehinge-Outcome";
constexpr char const * reason_field = "Endivehinge-Reason";
// running, waiting, limit, slowdown, failure share, closed
constexpr char const * load_field = "Endivehinge-Load";
// microseconds until a target with a rate limit may start another request, and
// between two starts; only sent for such targets
constexpr char const * cold_field = "Endivehinge-Cold";
// eras of the sender's replicas, version of its active configuration, and where
// roll-outs are in force the revision and the era of their copy. A field of its
// own, because earlier versions reject sender and outcome fields with further
// numbers; they ignore further numbers here
constexpr char const * position_field = "Endivehinge-Position";

// in a request: a target crashed while it ran the request; in a result: the
// target crashed. Only sent if so
constexpr char const * suspect_field = "Endivehinge-Suspect";

// requests per second that the target states: in a request as the sender knows
// it, in a result as it is. Only sent if there is such a rate
constexpr char const * stated_rate_field = "Endivehinge-Rate";

// in a request: refuse it unless it can start at once. Only sent if so
constexpr char const * hedge_field = "Endivehinge-Hedge";

// in a result: the request was refused for lack of capacity after its account
// had used its share. Only sent if so; a field of its own, because earlier
// versions reject unknown refusals
constexpr char const * share_used_field = "Endivehinge-Share-Used";

// name of the client account and digest of its key. Only sent if there is an
// account; earlier versions ignore them, and the message names the account, too
constexpr char const * account_field = "Endivehinge-Account";
constexpr char const * account_key_field = "Endivehinge-Key";
// kinds whose revisions the sender and outcome fields hold
constexpr std::size_t kind_count =
    std::tuple_size_v<decltype(replica_versions::kinds)>;

std::int64_t microsecond_count(duration value)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(value).count();
}

std::string extract_field(header_fields & fields, char const * name)
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

/// @brief parses numbers separated by spaces; empty if any is invalid
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

void read_cold(std::string const & text, target_load & load)
{
    if (auto const numbers = read_numbers(text); numbers.size() == 2)
    {
        load.start_delay = from_microseconds(numbers[0]);
        load.start_interval = from_microseconds(numbers[1]);
    }
}

std::string write_cold(target_load const & load)
{
    return absl::StrCat(microsecond_count(load.start_delay),
                        " ",
                        microsecond_count(load.start_interval));
}

std::optional<double> read_stated_rate(std::string const & text)
{
    auto const numbers = read_numbers(text);
    // also false for a value that is no number
    bool const is_valid = numbers.size() == 1 && numbers[0] >= 0;
    return is_valid ? std::optional(numbers[0]) : std::nullopt;
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

/// @brief writes what write_versions() leaves out; earlier versions ignore it
void write_position(header_fields & fields, replica_versions const & versions)
{
    auto const & kinds = versions.kinds;
    if (kinds[0].era() == store_era() && kinds[1].era() == store_era() &&
        kinds[2].era() == store_era() && versions.configuration_version == 0 &&
        !versions.rollouts)
    {
        return;
    }
    auto position = absl::StrCat(kinds[0].era().value(),
                                 " ",
                                 kinds[1].era().value(),
                                 " ",
                                 kinds[2].era().value(),
                                 " ",
                                 versions.configuration_version);
    if (versions.rollouts)
    {
        absl::StrAppend(&position,
                        " ",
                        versions.rollouts->value(),
                        " ",
                        versions.rollouts->era().value());
    }
    fields.set(position_field, position);
}

/// @param position the value of position_field; earlier versions send none, and
/// then the eras are unknown
replica_versions read_versions(std::vector<double> const & numbers,
                               std::size_t first_index,
                               std::string const & position)
{
    constexpr std::size_t required_count = kind_count + 1;
    std::array<std::uint64_t, required_count + 2> position_numbers{};
    std::vector<absl::string_view> const parts =
        absl::StrSplit(position, ' ', absl::SkipEmpty());
    bool is_valid = parts.size() >= required_count;
    bool const has_rollouts = parts.size() >= position_numbers.size();
    auto const count = has_rollouts ? position_numbers.size() : required_count;
    for (std::size_t i = 0; is_valid && i < count; ++i)
    {
        is_valid = absl::SimpleAtoi(parts[i], &position_numbers[i]);
    }
    if (!is_valid)
    {
        position_numbers = {};
    }
    replica_versions versions;
    for (std::size_t i = 0; i < versions.kinds.size(); ++i)
    {
        versions.kinds[i] = object_version(
            store_era(position_numbers[i]),
            static_cast<std::uint64_t>(numbers[first_index + i]));
    }
    versions.configuration_version = position_numbers[kind_count];
    if (is_valid && has_rollouts)
    {
        versions.rollouts =
            object_version(store_era(position_numbers[required_count + 1]),
                           position_numbers[required_count]);
    }
    return versions;
}

} // namespace

void write_hop_sender(request_message & message, hop_sender const & sender)
{
    message.set(sender_field,
                absl::StrCat(sender.peer.to_string(),
                             " ",
                             write_versions(sender.versions)));
    write_position(message, sender.versions);
}

void write_hop_request(dispatch_request & request,
                       hop_sender const & sender,
                       time_point now)
{
    auto & message = request.message;
    write_hop_sender(message, sender);
    message.set(target_field, request.target.value());
    message.set(service_field, request.service.value());
    message.set(route_field, request.route);
    message.set(caller_field, request.caller.value());
    message.set(request_id_field, request.id);
    message.set(in_flight_id_field, request.in_flight_id);
    if (request.stated_rate)
    {
        message.set(stated_rate_field, absl::StrCat(*request.stated_rate));
    }
    if (request.suspect)
    {
        message.set(suspect_field, "1");
    }
    if (request.hedge)
    {
        message.set(hedge_field, "1");
    }
    if (!request.account.value().empty())
    {
        message.set(account_field, request.account.value());
    }
    if (request.account_key)
    {
        message.set(account_key_field,
                    absl::StrCat(absl::Hex(request.account_key->value())));
    }
    message.set(
        urgency_field,
        absl::StrCat(microsecond_count(request.urgency.target_time - now),
                     " ",
                     microsecond_count(request.urgency.deadline - now),
                     " ",
                     request.urgency.rank,
                     " ",
                     request.idempotent ? 1 : 0,
                     " ",
                     static_cast<int>(request.slow_action)));
}

std::optional<hop_sender> read_hop_sender(request_message & message)
{
    auto const text = extract_field(message, sender_field);
    auto const position = extract_field(message, position_field);
    auto const separator = text.find(' ');
    if (separator == std::string::npos)
    {
        return std::nullopt;
    }
    failure reason;
    auto const peer = endpoint::parse(text.substr(0, separator), reason);
    auto const numbers = read_numbers(text.substr(separator));
    if (!peer || numbers.size() != kind_count)
    {
        return std::nullopt;
    }
    return hop_sender{*peer, read_versions(numbers, 0, position), {}};
}

bool has_hop_fields(header_fields const & fields)
{
    return fields.find(urgency_field) != fields.end() &&
           fields.find(target_field) != fields.end();
}

std::optional<dispatch_request> read_hop_request(request_message message,
                                                 time_point now)
{
    auto const numbers = read_numbers(extract_field(message, urgency_field));
    dispatch_request request;
    request.target = target_id(extract_field(message, target_field));
    request.service = service_name(extract_field(message, service_field));
    request.route = extract_field(message, route_field);
    request.caller = service_name(extract_field(message, caller_field));
    request.id = extract_field(message, request_id_field);
    request.in_flight_id = extract_field(message, in_flight_id_field);
    request.stated_rate =
        read_stated_rate(extract_field(message, stated_rate_field));
    request.suspect = !extract_field(message, suspect_field).empty();
    request.hedge = !extract_field(message, hedge_field).empty();
    request.account = account_name(extract_field(message, account_field));
    if (std::uint64_t digest = 0;
        absl::SimpleHexAtoi(extract_field(message, account_key_field), &digest))
    {
        request.account_key = account_key_digest(digest);
    }
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
    request.slow_action =
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
                             microsecond_count(result.queue_time),
                             " ",
                             microsecond_count(result.run_time),
                             " ",
                             microsecond_count(result.retry_after),
                             " ",
                             static_cast<int>(result.refusal),
                             " ",
                             write_versions(versions)));
    write_position(message, versions);
    if (result.target_crashed)
    {
        message.set(suspect_field, "1");
    }
    if (result.share_used)
    {
        message.set(share_used_field, "1");
    }
    if (result.load)
    {
        message.set(load_field, write_load(*result.load));
        if (result.load->stated_rate)
        {
            message.set(stated_rate_field,
                        absl::StrCat(*result.load->stated_rate));
        }
        if (result.load->start_interval > duration(0))
        {
            message.set(cold_field, write_cold(*result.load));
        }
    }
    return message;
}

std::optional<dispatch_result> read_hop_result(response_message message,
                                               replica_versions & versions)
{
    auto const numbers = read_numbers(extract_field(message, outcome_field));
    constexpr std::size_t result_number_count = 7;
    if (numbers.size() != result_number_count + kind_count || numbers[0] < 0 ||
        numbers[0] > static_cast<int>(dispatch_outcome::indeterminate) ||
        numbers[6] < 0 ||
        numbers[6] > static_cast<int>(admission_refusal::limited))
    {
        return std::nullopt;
    }
    dispatch_result result;
    result.outcome =
        static_cast<dispatch_outcome>(static_cast<int>(numbers[0]));
    result.from_service = numbers[1] != 0;
    result.reached_target = numbers[2] != 0;
    result.queue_time = from_microseconds(numbers[3]);
    result.run_time = from_microseconds(numbers[4]);
    result.retry_after = from_microseconds(numbers[5]);
    result.refusal =
        static_cast<admission_refusal>(static_cast<int>(numbers[6]));
    versions = read_versions(
        numbers, result_number_count, extract_field(message, position_field));
    result.reason = extract_field(message, reason_field);
    result.share_used = !extract_field(message, share_used_field).empty();
    result.target_crashed = !extract_field(message, suspect_field).empty();
    result.load = read_load(extract_field(message, load_field));
    auto const cold = extract_field(message, cold_field);
    auto const stated_rate = extract_field(message, stated_rate_field);
    if (result.load)
    {
        result.load->stated_rate = read_stated_rate(stated_rate);
        read_cold(cold, *result.load);
    }
    result.response = std::move(message);
    return result;
}

void remove_hop_fields(header_fields & fields)
{
    for (auto const * const name : {target_field,
                                    in_flight_id_field,
                                    sender_field,
                                    service_field,
                                    route_field,
                                    caller_field,
                                    request_id_field,
                                    urgency_field,
                                    outcome_field,
                                    reason_field,
                                    load_field,
                                    cold_field,
                                    position_field,
                                    share_used_field,
                                    hedge_field,
                                    suspect_field,
                                    stated_rate_field,
                                    account_field,
                                    account_key_field})
    {
        fields.erase(name);
    }
}

} // namespace endivehinge::detail
