#include <common/answer_report.hpp>

#include <absl/strings/str_cat.h> // StrCat
#include <nlohmann/json.hpp>      // json

#include <common/body_digest.hpp>

namespace endivehinge::tools
{
namespace
{

using nlohmann::json;

// differs by call, so that parts of two answers never look like one
std::string make_payload(request_marks const & marks)
{
    std::string const unit = absl::StrCat(marks.call, " ");
    std::string payload;
    payload.reserve(marks.payload_bytes + unit.size());
    while (payload.size() < marks.payload_bytes)
    {
        payload += unit;
    }
    payload.resize(marks.payload_bytes);
    return payload;
}

} // namespace

std::string write_answer(request_marks const & marks,
                         std::string const & request_id,
                         std::string const & target,
                         std::string const & got)
{
    std::string const payload = make_payload(marks);
    json const head = {{"call", marks.call},
                       {"request_id", request_id},
                       {"target", target},
                       {"digest_got", body_digest(got)},
                       {"payload", body_digest(payload)}};
    return absl::StrCat(head.dump(), "\n", payload);
}

answer_report read_answer(std::string const & body)
{
    answer_report report;
    auto const end = body.find('\n');
    json const head = json::parse(body.substr(0, end), nullptr, false);
    if (end == std::string::npos || !head.is_object())
    {
        return report;
    }
    report.call = head.value("call", "");
    report.request_id = head.value("request_id", "");
    report.target = head.value("target", "");
    report.digest_got = head.value("digest_got", "");
    report.whole =
        body_digest(body.substr(end + 1)) == head.value("payload", "");
    return report;
}

} // namespace endivehinge::tools
