#include <endivehinge/detail/gateway/allotment_exchange.hpp>

#include <algorithm> // min
#include <cmath>     // isfinite
#include <exception> // exception

#include <nlohmann/json.hpp> // json

#include <endivehinge/core/json_text.hpp>

namespace endivehinge::detail
{

namespace http = boost::beast::http;
using nlohmann::json;
using std::chrono::microseconds;

namespace
{

constexpr char const * request_path = "/endivehinge/allotment";
constexpr char const * request_step = "parse a message about allotments";
constexpr char const * response_step = "parse an answer about allotments";
// larger bodies are not parsed; 64 accounts with names of 256 characters
constexpr std::size_t max_body_bytes = 65536;
// entries of each list; bounds the work for one message
constexpr std::size_t max_entries = 64;
// no time in a message is longer
constexpr duration max_time = std::chrono::seconds(6);
// a demand above it is no valid number of requests per second
constexpr double max_rate = 1e9;
// tokens in one ask; more than a node of the fleet handles in the token
// lifetime
constexpr std::uint32_t max_tokens = 100000;

class invalid_value : public std::exception
{
public:
    [[nodiscard]] char const * what() const noexcept override
    {
        return "a value is out of range";
    }
};

json write_process(allotment_process const & process)
{
    return {{"node", process.node.value()}, {"process", process.process}};
}

allotment_process read_process(json const & value)
{
    return {node_name(value.at("node").get<std::string>()),
            value.at("process").get<std::uint64_t>()};
}

double read_rate(json const & value, char const * name)
{
    double const rate = value.value(name, 0.0);
    if (!std::isfinite(rate) || rate < 0 || rate > max_rate)
    {
        throw invalid_value();
    }
    return rate;
}

std::uint32_t read_count(json const & value, char const * name)
{
    auto const count = value.value(name, std::int64_t{0});
    if (count < 0 || count > max_tokens)
    {
        throw invalid_value();
    }
    return static_cast<std::uint32_t>(count);
}

/// @brief a duration in microseconds, limited
duration read_time(json const & value, char const * name)
{
    auto const count = value.value(name, std::int64_t{0});
    if (count < 0)
    {
        throw invalid_value();
    }
    return microseconds(
        std::min<std::int64_t>(count, max_time / microseconds(1)));
}

json const & read_list(json const & value, char const * name)
{
    static json const empty = json::array();
    auto const found = value.find(name);
    if (found == value.end())
    {
        return empty;
    }
    if (!found->is_array() || found->size() > max_entries)
    {
        throw invalid_value();
    }
    return *found;
}

void write_departures(json & document,
                      std::vector<allotment_departure> const & departures)
{
    // the first is that of the sender, if it has departed
    auto const count = std::min(departures.size(), max_entries);
    for (std::size_t i = 0; i < count; ++i)
    {
        document["departures"].push_back(
            {{"node", departures[i].node.value()},
             {"target", departures[i].target.value()}});
    }
}

std::vector<allotment_departure> read_departures(json const & document)
{
    std::vector<allotment_departure> departures;
    for (auto const & value : read_list(document, "departures"))
    {
        departures.push_back(
            {node_name(value.at("node").get<std::string>()),
             target_id(value.at("target").get<std::string>())});
    }
    return departures;
}

json write_ask(account_name const & account, allotment_ask const & ask)
{
    json written = {{"account", account.value()},
                    {"sequence", ask.sequence},
                    {"wanted", ask.wanted},
                    {"demand", ask.demand}};
    if (ask.needed > 0)
    {
        written["needed"] = ask.needed;
    }
    if (ask.returned > 0)
    {
        written["returned"] = ask.returned;
    }
    if (ask.relay)
    {
        written["relay"] = true;
    }
    return written;
}

allotment_ask read_ask(json const & value)
{
    allotment_ask ask;
    ask.sequence = value.at("sequence").get<std::uint64_t>();
    ask.needed = read_count(value, "needed");
    ask.wanted = read_count(value, "wanted");
    ask.returned = read_count(value, "returned");
    ask.demand = read_rate(value, "demand");
    ask.relay = value.value("relay", false);
    return ask;
}

std::optional<node_name> read_node(json const & value, char const * name)
{
    auto const found = value.find(name);
    return found == value.end()
               ? std::nullopt
               : std::optional(node_name(found->get<std::string>()));
}

json write_grant(account_name const & account, allotment_grant const & grant)
{
    json written = {{"account", account.value()},
                    {"sequence", grant.sequence},
                    {"tokens", grant.tokens},
                    {"next_us", grant.next_token / microseconds(1)}};
    if (grant.from_owner)
    {
        written["from_owner"] = true;
    }
    if (grant.is_filling)
    {
        written["filling"] = true;
    }
    if (grant.remaining > duration(0))
    {
        written["remaining_us"] = grant.remaining / microseconds(1);
    }
    if (grant.owner)
    {
        written["owner"] = grant.owner->value();
    }
    return written;
}

allotment_grant read_grant(json const & value)
{
    allotment_grant grant;
    grant.sequence = value.at("sequence").get<std::uint64_t>();
    grant.from_owner = value.value("from_owner", false);
    grant.is_filling = value.value("filling", false);
    grant.tokens = read_count(value, "tokens");
    grant.remaining = read_time(value, "remaining_us");
    grant.next_token = read_time(value, "next_us");
    grant.owner = read_node(value, "owner");
    return grant;
}

json write_vote(account_name const & account, allotment_vote const & vote)
{
    json written = {{"account", account.value()}, {"granted", vote.granted}};
    if (vote.provisional)
    {
        written["provisional"] = true;
    }
    if (vote.unowned_for > duration(0))
    {
        written["unowned_us"] = vote.unowned_for / microseconds(1);
    }
    if (vote.holder)
    {
        written["holder"] = vote.holder->value();
    }
    if (vote.remaining > duration(0))
    {
        written["remaining_us"] = vote.remaining / microseconds(1);
    }
    return written;
}

allotment_vote read_vote(json const & value)
{
    allotment_vote vote;
    vote.granted = value.at("granted").get<bool>();
    vote.provisional = value.value("provisional", false);
    vote.unowned_for = read_time(value, "unowned_us");
    vote.holder = read_node(value, "holder");
    vote.remaining = read_time(value, "remaining_us");
    return vote;
}

account_name read_account(json const & value)
{
    return account_name(value.at("account").get<std::string>());
}

} // namespace

bool allotment_exchange::is_request(request_message const & message)
{
    return message.method() == http::verb::post &&
           message.target() == request_path;
}

request_message
allotment_exchange::write_request(allotment_message const & message)
{
    json document = write_process(message.from);
    write_departures(document, message.departures);
    for (auto const & [account, ask] : message.asks)
    {
        document["asks"].push_back(write_ask(account, ask));
    }
    for (auto const & vote : message.vote_requests)
    {
        document["vote_requests"].push_back({{"account", vote.account.value()},
                                             {"number", vote.number},
                                             {"return", vote.is_return}});
    }
    request_message request{http::verb::post, request_path, 11};
    request.body() = to_json_text(document);
    request.keep_alive(true);
    request.prepare_payload();
    return request;
}

std::optional<allotment_message>
allotment_exchange::read_request(request_message const & request,
                                 failure & reason)
{
    try
    {
        if (request.body().size() > max_body_bytes)
        {
            throw invalid_value();
        }
        auto const document = json::parse(request.body().text());
        allotment_message message;
        message.from = read_process(document);
        message.departures = read_departures(document);
        for (auto const & value : read_list(document, "asks"))
        {
            message.asks.emplace_back(read_account(value), read_ask(value));
        }
        for (auto const & value : read_list(document, "vote_requests"))
        {
            message.vote_requests.push_back(
                {read_account(value),
                 value.at("number").get<std::uint64_t>(),
                 value.at("return").get<bool>()});
        }
        return message;
    }
    catch (std::exception const & error)
    {
        reason = {failure_id::invalid_message, request_step, "", error.what()};
        return std::nullopt;
    }
}

std::string
allotment_exchange::write_response(allotment_response const & response)
{
    json document = write_process(response.from);
    write_departures(document, response.departures);
    for (auto const & [account, grant] : response.grants)
    {
        document["grants"].push_back(write_grant(account, grant));
    }
    for (auto const & [account, vote] : response.votes)
    {
        document["votes"].push_back(write_vote(account, vote));
    }
    return to_json_text(document);
}

std::optional<allotment_response>
allotment_exchange::read_response(std::string const & body, failure & reason)
{
    try
    {
        auto const document = json::parse(body);
        allotment_response response;
        response.from = read_process(document);
        response.departures = read_departures(document);
        for (auto const & value : read_list(document, "grants"))
        {
            response.grants.emplace_back(read_account(value),
                                         read_grant(value));
        }
        for (auto const & value : read_list(document, "votes"))
        {
            response.votes.emplace_back(read_account(value), read_vote(value));
        }
        return response;
    }
    catch (std::exception const & error)
    {
        reason = {failure_id::invalid_message, response_step, "", error.what()};
        return std::nullopt;
    }
}

} // namespace endivehinge::detail
