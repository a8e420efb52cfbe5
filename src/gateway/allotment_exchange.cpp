#include <endivehinge/detail/gateway/allotment_exchange.hpp>

#include <algorithm> // min
#include <cmath>     // isfinite
#include <exception> // exception

#include <nlohmann/json.hpp> // json

#include <endivehinge/policy/allotment_timing.hpp>

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
// a demand or a right above it is no valid number of requests per second
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

/// @brief a duration in microseconds, at most the validity of a right
duration read_time(json const & value, char const * name)
{
    auto const count = value.value(name, std::int64_t{0});
    if (count < 0)
    {
        throw invalid_value();
    }
    return std::min<duration>(
        allotment_timing::right_validity,
        microseconds(std::min<std::int64_t>(
            count, allotment_timing::right_validity / microseconds(1))));
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
                    {"acknowledged", ask.acknowledged},
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
    if (ask.wants_right)
    {
        written["wants_right"] = true;
    }
    if (ask.drops_right)
    {
        written["drops_right"] = true;
    }
    return written;
}

allotment_ask read_ask(json const & value)
{
    allotment_ask ask;
    ask.sequence = value.at("sequence").get<std::uint64_t>();
    ask.acknowledged = value.at("acknowledged").get<std::uint64_t>();
    ask.needed = read_count(value, "needed");
    ask.wanted = read_count(value, "wanted");
    ask.returned = read_count(value, "returned");
    ask.demand = read_rate(value, "demand");
    ask.wants_right = value.value("wants_right", false);
    ask.drops_right = value.value("drops_right", false);
    return ask;
}

json write_grant(account_name const & account, allotment_grant const & grant)
{
    json written = {{"account", account.value()}, {"sequence", grant.sequence}};
    if (grant.from_owner)
    {
        written["owner"] = true;
        written["tokens"] = grant.tokens;
        written["right"] = grant.right;
        written["next_us"] = grant.next_token / microseconds(1);
        written["free_us"] = grant.rights_free / microseconds(1);
        written["recovering"] = grant.recovering;
    }
    return written;
}

allotment_grant read_grant(json const & value)
{
    allotment_grant grant;
    grant.sequence = value.at("sequence").get<std::uint64_t>();
    grant.from_owner = value.value("owner", false);
    grant.tokens = read_count(value, "tokens");
    grant.right = read_rate(value, "right");
    grant.next_token = read_time(value, "next_us");
    grant.rights_free = read_time(value, "free_us");
    grant.recovering = value.value("recovering", false);
    return grant;
}

json write_claim(account_name const & account, allotment_claim const & claim)
{
    return {{"account", account.value()},
            {"agrees", claim.agrees},
            {"right", claim.right},
            {"begins_us", claim.begins / microseconds(1)},
            {"remaining_us", claim.remaining / microseconds(1)},
            {"free_us", claim.rights_free / microseconds(1)}};
}

allotment_claim read_claim(json const & value)
{
    allotment_claim claim;
    claim.agrees = value.at("agrees").get<bool>();
    claim.right = read_rate(value, "right");
    claim.begins = read_time(value, "begins_us");
    claim.remaining = read_time(value, "remaining_us");
    claim.rights_free = read_time(value, "free_us");
    return claim;
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
    for (auto const & ended : message.ended)
    {
        document["ended"].push_back(
            {{"node", ended.node.value()},
             {"remaining_us", ended.remaining / microseconds(1)}});
        if (document["ended"].size() == max_entries)
        {
            break;
        }
    }
    write_departures(document, message.departures);
    for (auto const & [account, ask] : message.asks)
    {
        document["asks"].push_back(write_ask(account, ask));
    }
    for (auto const & account : message.questions)
    {
        document["questions"].push_back(account.value());
    }
    request_message request{http::verb::post, request_path, 11};
    request.body() = document.dump();
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
        auto const document = json::parse(request.body());
        allotment_message message;
        message.from = read_process(document);
        for (auto const & value : read_list(document, "ended"))
        {
            message.ended.push_back(
                {node_name(value.at("node").get<std::string>()),
                 read_time(value, "remaining_us")});
        }
        message.departures = read_departures(document);
        for (auto const & value : read_list(document, "asks"))
        {
            message.asks.emplace_back(read_account(value), read_ask(value));
        }
        for (auto const & value : read_list(document, "questions"))
        {
            message.questions.emplace_back(value.get<std::string>());
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
    for (auto const & [account, claim] : response.claims)
    {
        document["claims"].push_back(write_claim(account, claim));
    }
    return document.dump();
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
        for (auto const & value : read_list(document, "claims"))
        {
            response.claims.emplace_back(read_account(value),
                                         read_claim(value));
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
