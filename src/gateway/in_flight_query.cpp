#include <endivehinge/detail/gateway/in_flight_query.hpp>

#include <absl/strings/match.h>     // StartsWith
#include <absl/strings/numbers.h>   // SimpleAtoi
#include <absl/strings/str_cat.h>   // StrCat
#include <absl/strings/str_join.h>  // StrJoin
#include <absl/strings/str_split.h> // StrSplit

namespace endivehinge::detail
{

namespace http = boost::beast::http;

namespace
{

// followed by the IDs, separated by commas
constexpr char const * path_prefix = "/endivehinge/flights/";
// microseconds since the oldest of the requests was sent
constexpr char const * age_field = "Endivehinge-Query-Age";
// response body: one character per request, in the order of the query
constexpr char in_progress_code = 'p';
constexpr char ended_code = 'e';
constexpr char fenced_code = 'f';

char code_of(in_flight_request_state state)
{
    switch (state)
    {
    case in_flight_request_state::in_progress:
        return in_progress_code;
    case in_flight_request_state::ended:
        return ended_code;
    case in_flight_request_state::fenced:
        break;
    }
    return fenced_code;
}

std::optional<in_flight_request_state> state_of(char code)
{
    switch (code)
    {
    case in_progress_code:
        return in_flight_request_state::in_progress;
    case ended_code:
        return in_flight_request_state::ended;
    case fenced_code:
        return in_flight_request_state::fenced;
    default:
        return std::nullopt;
    }
}

} // namespace

bool in_flight_query::is_request(request_message const & message)
{
    auto const target = std_view(message.target());
    return message.method() == http::verb::get &&
           absl::StartsWith({target.data(), target.size()}, path_prefix);
}

request_message
in_flight_query::write_request(std::vector<std::string> const & in_flight_ids,
                               duration max_age)
{
    request_message message{
        http::verb::get,
        absl::StrCat(path_prefix, absl::StrJoin(in_flight_ids, ",")),
        11};
    message.set(
        age_field,
        std::to_string(
            std::chrono::ceil<std::chrono::microseconds>(max_age).count()));
    return message;
}

response_message in_flight_query::answer(request_message const & message,
                                         in_flight_request_table & table,
                                         duration uptime)
{
    auto const age_text = std_view(message[age_field]);
    std::int64_t age_us = 0; // earlier versions do not send it
    bool const older_than_process =
        absl::SimpleAtoi(absl::string_view(age_text.data(), age_text.size()),
                         &age_us) &&
        std::chrono::microseconds(age_us) >= uptime;
    auto const target = std_view(message.target());
    absl::string_view const text(target.data(), target.size());
    response_message response{http::status::ok, 11};
    for (absl::string_view const id :
         absl::StrSplit(text.substr(absl::string_view(path_prefix).size()),
                        ',',
                        absl::SkipEmpty()))
    {
        auto const state = table.query(std::string(id));
        bool const unknown = state == in_flight_request_state::fenced;
        response.body() +=
            unknown && older_than_process ? ended_code : code_of(state);
    }
    response.keep_alive(true);
    response.prepare_payload();
    return response;
}

std::optional<std::vector<in_flight_request_state>>
in_flight_query::read(response_message const & message,
                      std::size_t expected_count)
{
    std::vector<in_flight_request_state> states;
    for (char const code : message.body())
    {
        auto const state = state_of(code);
        if (!state)
        {
            return std::nullopt;
        }
        states.push_back(*state);
    }
    if (message.result() != http::status::ok || states.size() != expected_count)
    {
        return std::nullopt;
    }
    return states;
}

} // namespace endivehinge::detail
