#include <endivehinge/detail/gateway/crash_report_exchange.hpp>

#include <nlohmann/json.hpp> // json

#include <endivehinge/core/json_text.hpp>

namespace endivehinge::detail
{

namespace http = boost::beast::http;
using nlohmann::json;
using std::chrono::milliseconds;

namespace
{

constexpr char const * request_path = "/endivehinge/crashes";
constexpr char const * read_step = "parse the crash reports of another node";
// more than the requests in flight at one target; bounds memory
constexpr std::size_t max_reports = 256;

json write_report(crash_report const & report)
{
    return {{"fingerprint", report.fingerprint.value()},
            {"crash", report.crash.value()},
            {"isolated", report.isolated},
            {"remaining_ms", report.remaining / milliseconds(1)},
            {"frequent", report.frequency == request_frequency::frequent}};
}

crash_report read_report(json const & value)
{
    crash_report report;
    report.fingerprint =
        request_fingerprint(value.at("fingerprint").get<std::uint64_t>());
    report.crash = crash_id(value.at("crash").get<std::string>());
    report.isolated = value.at("isolated").get<bool>();
    report.remaining =
        milliseconds(value.at("remaining_ms").get<std::uint32_t>());
    // earlier versions sent no report of a frequent request
    report.frequency = value.value("frequent", false)
                           ? request_frequency::frequent
                           : request_frequency::unknown;
    return report;
}

} // namespace

bool crash_report_exchange::is_request(request_message const & message)
{
    return message.method() == http::verb::post &&
           message.target() == request_path;
}

request_message
crash_report_exchange::write_request(std::vector<crash_report> const & reports)
{
    json document = json::array();
    for (auto const & report : reports)
    {
        document.push_back(write_report(report));
    }
    request_message message{http::verb::post, request_path, 11};
    message.body() = to_json_text(document);
    message.keep_alive(true);
    message.prepare_payload();
    return message;
}

std::optional<std::vector<crash_report>>
crash_report_exchange::read_request(request_message const & message,
                                    failure & reason)
{
    try
    {
        std::vector<crash_report> reports;
        for (auto const & value : json::parse(message.body().text()))
        {
            if (reports.size() < max_reports)
            {
                reports.push_back(read_report(value));
            }
        }
        return reports;
    }
    catch (json::exception const & error)
    {
        reason = {failure_id::invalid_message, read_step, "", error.what()};
        return std::nullopt;
    }
}

} // namespace endivehinge::detail
