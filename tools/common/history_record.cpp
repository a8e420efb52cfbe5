#include <common/history_record.hpp>

namespace endivehinge::tools
{
namespace
{

using nlohmann::json;

void add_text(json & line, char const * name, std::string const & text)
{
    if (!text.empty())
    {
        line[name] = text;
    }
}

history_record read_fields(json const & source)
{
    history_record record;
    record.time_ns = source.at("time_ns").get<std::int64_t>();
    record.event = source.at("event").get<history_event>();
    record.call = source.value("call", "");
    record.attempt = source.value("attempt", "");
    record.id = request_id(source.value("request_id", ""));
    record.key = idempotency_key(source.value("key", ""));
    record.service = service_name(source.value("service", ""));
    record.target = source.value("target", "");
    record.repeatable = source.value("repeatable", false);
    record.digest_sent = source.value("digest_sent", "");
    record.digest_got = source.value("digest_got", "");
    record.whole = source.value("whole", true);
    record.status = source.value("status", 0);
    return record;
}

} // namespace

std::string write_record(history_record const & record)
{
    json line = {{"time_ns", record.time_ns}, {"event", record.event}};
    add_text(line, "call", record.call);
    add_text(line, "attempt", record.attempt);
    add_text(line, "request_id", record.id.value());
    add_text(line, "key", record.key.value());
    add_text(line, "service", record.service.value());
    add_text(line, "target", record.target);
    add_text(line, "digest_sent", record.digest_sent);
    add_text(line, "digest_got", record.digest_got);
    if (record.event == history_event::invoke)
    {
        line["repeatable"] = record.repeatable;
    }
    if (record.event == history_event::answer)
    {
        line["whole"] = record.whole;
        line["status"] = record.status;
    }
    return line.dump();
}

std::optional<history_record> read_record(std::string const & line,
                                          failure & reason)
{
    try
    {
        history_record record = read_fields(json::parse(line));
        if (record.event != history_event::none)
        {
            return record;
        }
        reason.detail = "no such event";
    }
    catch (json::exception const & error)
    {
        reason.detail = error.what();
    }
    reason.id = failure_id::invalid_message;
    reason.step = "read history record";
    return std::nullopt;
}

} // namespace endivehinge::tools
