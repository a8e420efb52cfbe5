#include <endivehinge/detail/gateway/in_flight_query.hpp>

#include <absl/strings/match.h>     // StartsWith
#include <absl/strings/str_cat.h>   // StrCat
#include <absl/strings/str_join.h>  // StrJoin
#include <absl/strings/str_split.h> // StrSplit

namespace endivehinge::detail
{

namespace http = boost::beast::http;

namespace
{

// the requests follow, separated by commas
constexpr char const * path = "/endivehinge/flights/";
// one letter a request, in the order of the question
constexpr char in_progress_letter = 'p';
constexpr char ended_letter = 'e';
constexpr char fenced_letter = 'f';

char letter_of(in_flight_request_state state)
{
    switch (state)
    {
    case in_flight_request_state::in_progress:
        return in_progress_letter;
    case in_flight_request_state::ended:
        return ended_letter;
    case in_flight_request_state::fenced:
        break;
    }
    return fenced_letter;
}

std::optional<in_flight_request_state> state_of(char letter)
{
    switch (letter)
    {
    case in_progress_letter:
        return in_flight_request_state::in_progress;
    case ended_letter:
        return in_flight_request_state::ended;
    case fenced_letter:
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
           absl::StartsWith({target.data(), target.size()}, path);
}

request_message
in_flight_query::write_request(std::vector<std::string> const & flights)
{
    return request_message{
        http::verb::get, absl::StrCat(path, absl::StrJoin(flights, ",")), 11};
}

response_message in_flight_query::answer(request_message const & message,
                                         in_flight_request_table & table)
{
    auto const target = std_view(message.target());
    absl::string_view const text(target.data(), target.size());
    response_message response{http::status::ok, 11};
    for (absl::string_view const flight :
         absl::StrSplit(text.substr(absl::string_view(path).size()),
                        ',',
                        absl::SkipEmpty()))
    {
        response.body() += letter_of(table.query(std::string(flight)));
    }
    response.keep_alive(true);
    response.prepare_payload();
    return response;
}

std::optional<std::vector<in_flight_request_state>>
in_flight_query::read(response_message const & message, std::size_t asked)
{
    std::vector<in_flight_request_state> states;
    for (char const letter : message.body())
    {
        auto const state = state_of(letter);
        if (!state)
        {
            return std::nullopt;
        }
        states.push_back(*state);
    }
    if (message.result() != http::status::ok || states.size() != asked)
    {
        return std::nullopt;
    }
    return states;
}

} // namespace endivehinge::detail
